// Package admission decides which requests are admitted when a front is full: fair queues by project and, within it, by
// client, in a fixed amount of memory whatever the number of either. It does no I/O and reads no clock. Package gate's
// Gate is its shell.
//
// The queues are those of start-time fair queueing (Goyal, Vin, Cheng, SIGCOMM 1996): a request that is admitted moves its
// queue's tag on by its cost over its plan's weight, so that projects share the room as their plans are weighed; the queue
// with the lowest tag is next, and one that was empty begins at the tag of the last request admitted, so nobody saves up.
// Projects and clients share queues by a keyed hash (McKenney, Stochastic fairness queueing, INFOCOM 1990); the key is
// drawn at the start, so ids that are made to collide with another's can't be found from outside.
package admission

import (
	"hash/maphash"
	"math"
	"math/rand/v2"

	"otterturn/scheduler/timers"
)

// Sizes of the set of queues.
const (
	projects = 1024 // queues that projects are spread over
	clients  = 8    // and, within each, queues that its clients are spread over
)

// Config bounds a queue. Times are microseconds.
type Config struct {
	Room          int   // requests admitted at a time
	Waiting       int   // requests that wait for room at most
	MaxRetryAfter int64 // longest time after which clients are told to come back
}

// Ticket names a request that waits.
type Ticket int32

const none Ticket = -1

// Queue is the admission queue of one front. New returns one; it must not be used by several goroutines at once.
type Queue struct {
	config   Config
	hash     maphash.Seed
	rng      *rand.Rand
	admitted int // requests that were admitted and not released
	waiting  int
	tag      int64 // of the last request admitted
	queues   [projects]project
	active   timers.Timers[int64, *project] // those in which something waits, by their tags
	pool     []waiter
	free     Ticket
	cost     float64 // that waits
	rate     float64 // cost that leaves in a microsecond while there is no room to spare
	meanHeld float64 // mean time between admission and release, in microseconds
	meanCost float64 // and its mean cost
	// Those that refused requests were told to come back to, by when the last of them is due.
	promised timers.Timers[int64, *project]
	claims   int
}

// project is a queue of projects that share it.
type project struct {
	timer   timers.Timer[int64, *project]
	tag     int64
	count   int
	cost    float64 // that waits
	promise timers.Timer[int64, *project]
	claims  bool  // it holds a promise
	until   int64 // the last one's time
	clients [clients]client
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
	step       int64  // what it moves its queues' tags on by
	prev, next Ticket // in the client's queue; next of a free one is the next free one
}

// New returns an empty queue. The seed is for the spread of retry times; the hash has a key of its own, which no one knows.
func New(config Config, hash maphash.Seed, seed uint64) *Queue {
	q := &Queue{config: config, hash: hash, rng: rand.New(rand.NewPCG(seed, 5)), pool: make([]waiter, max(config.Waiting, 1)), free: 0}
	for i := range q.pool {
		q.pool[i].next = Ticket(i + 1)
	}
	q.pool[len(q.pool)-1].next = none
	for i := range q.queues {
		p := &q.queues[i]
		p.timer.Member, p.promise.Member = p, p
		for j := range p.clients {
			p.clients[j].first, p.clients[j].last = none, none
		}
	}
	return q
}

// smooth is how many requests the means are taken over, about.
const smooth = 64

// scale turns a cost into tags, which are whole numbers.
const scale = 1000

// step is what a request of so much cost moves its queue's tag on by under a plan of that weight; a weight of 0 or
// less, which a checked file doesn't have, counts as the least that a float keeps apart from it.
func step(cost, weight float64) int64 {
	return int64(math.Ceil(cost * scale / max(weight, 1e-9)))
}

func (q *Queue) find(name, by string) (*project, *client) {
	h := maphash.String(q.hash, name)
	p := &q.queues[h%projects]
	return p, &p.clients[maphash.String(q.hash, name+"\x00"+by)%clients]
}

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return q.waiting }
