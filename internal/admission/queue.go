// Package admission decides which requests are admitted when a front is full. It has fair queues by project and, within a
// project, by client, in a fixed amount of memory for any number of projects and clients. It does no I/O and reads no clock.
// Package gate is its shell.
//
// The queues use start-time fair queueing (Goyal, Vin, Cheng, SIGCOMM 1996): an admitted request advances its queue's tag by
// its cost over its plan's weight, so projects share the capacity in proportion to their plans' weights. The queue with the
// lowest tag is next, and a queue that was empty begins at the tag of the last request admitted, so unused capacity cannot be
// saved. Projects and clients are assigned to queues by a keyed hash (McKenney, Stochastic fairness queueing, INFOCOM 1990).
// The key is drawn at random at the start, so that ids which collide with another id can't be computed from outside.
package admission

import (
	"hash/maphash"
	"math"
	"math/rand/v2"

	"otterturn/scheduler/timers"
)

// Numbers of queues.
const (
	projects = 1024 // queues for all projects
	clients  = 8    // queues for the clients of each of them
)

// Config bounds a queue. Times are in microseconds.
type Config struct {
	MaxAdmitted   int   // maximum number of requests admitted at the same time
	MaxWaiting    int   // maximum number of waiting requests
	MaxRetryAfter int64 // longest time after which clients of rejected requests are told to retry
}

// Ticket identifies a waiting request.
type Ticket int32

const noTicket Ticket = -1

// Queue is the admission queue of one front. It is created with New and is not safe for concurrent use.
type Queue struct {
	config    Config
	hash      maphash.Seed
	rng       *rand.Rand
	admitted  int // requests that were admitted and not released yet
	waiting   int
	tag       int64 // of the last request admitted
	queues    [projects]project
	active    timers.Timers[int64, *project] // queues with waiting requests, ordered by tag
	pool      []waiter
	firstFree Ticket
	cost      float64 // of all waiting requests
	rate      float64 // cost released per microsecond while the maximum of requests is admitted
	meanHeld  float64 // mean time between admission and release, in microseconds
	meanCost  float64 // mean cost of released requests
	// Queues that have promised retry times to rejected requests, ordered by the last of these times, and their number.
	promised timers.Timers[int64, *project]
	claims   int
}

// project is a queue of one or more projects.
type project struct {
	timer         timers.Timer[int64, *project]
	tag           int64
	count         int
	cost          float64 // of its waiting requests
	promise       timers.Timer[int64, *project]
	claims        bool  // a rejected request was promised a retry time that has not passed
	promisedUntil int64 // the last such time
	clients       [clients]client
}

type client struct {
	tag         int64
	first, last Ticket
	count       int
}

type waiter struct {
	project    *project
	client     *client
	cost       float64
	increment  int64  // by which it advances the tags of its queues
	prev, next Ticket // in the client's queue; next of a free place is the next free place
}

// New returns an empty queue. seed is for the random part of the retry times, hash is the secret key of the hash.
func New(config Config, hash maphash.Seed, seed uint64) *Queue {
	q := &Queue{config: config, hash: hash, rng: rand.New(rand.NewPCG(seed, 5)), pool: make([]waiter, max(config.MaxWaiting, 1)), firstFree: 0}
	for i := range q.pool {
		q.pool[i].next = Ticket(i + 1)
	}
	q.pool[len(q.pool)-1].next = noTicket
	for i := range q.queues {
		p := &q.queues[i]
		p.timer.Member, p.promise.Member = p, p
		for j := range p.clients {
			p.clients[j].first, p.clients[j].last = noTicket, noTicket
		}
	}
	return q
}

// averagedRequests is the inverse weight of a request in the moving averages, and so about the number of requests in them.
const averagedRequests = 64

// tagsPerCost converts costs to tags, which are integers.
const tagsPerCost = 1000

// increment returns by how much a request advances its queue's tag. A weight of 0 or less, which a validated configuration does
// not have, counts as a tiny positive one, so that the division is defined.
func increment(cost, weight float64) int64 {
	return int64(math.Ceil(cost * tagsPerCost / max(weight, 1e-9)))
}

func (q *Queue) find(projectID, clientID string) (*project, *client) {
	h := maphash.String(q.hash, projectID)
	p := &q.queues[h%projects]
	return p, &p.clients[maphash.String(q.hash, projectID+"\x00"+clientID)%clients]
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }
