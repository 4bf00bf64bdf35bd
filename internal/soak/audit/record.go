// Package audit is the oracle of the soak: it judges what clients, nodes and the platform saw of a run by the operators' rules. It
// imports nothing of the program, so that a fault there is not a fault here too. Times are spans of monotonic time since the
// run's beginning.
package audit

import (
	"sync"
	"time"
)

// Class is what a class of requests allows after an attempt that may have run.
type Class int

// The classes.
const (
	Repeatable Class = iota // may run any number of times
	Keyed                   // nodes drop a repetition within the window
	Once                    // must not run twice
)

// Ending is how a request ended for its client.
type Ending int

// The kinds of Ending.
const (
	Open     Ending = iota // no answer came while the client waited
	Answered               // one whole answer
	Cut                    // an answer began and did not come whole
	Closed                 // the connection ended with no byte of an answer
	Left                   // the client closed its connection
)

// Request is one that a client sent whole.
type Request struct {
	ID      string
	Class   Class
	Process int           // index of the process that it was sent to
	Sent    time.Duration // when its last byte was written
	Wait    time.Duration // for which its client waits
	Ending  Ending
	Ended   time.Duration
	Status  int  // of the answer
	Long    bool // its body is longer than what a front holds whole
}

// Attempt is what a node saw of a request.
type Attempt struct {
	ID, Node string
	Began    time.Duration // its first byte came
	Whole    time.Duration // its last one, 0 where it did not come
	Ended    time.Duration // the node answered, or the connection ended; 0 where neither happened
	Told     time.Duration // how long the front said that it would wait, below 0 for nothing
	Unrun    bool          // the node turned it away
}

// Process is one run of a front.
type Process struct {
	Front    int
	Name     string
	Term     time.Duration // the first SIGTERM, 0 for none
	Kill     time.Duration // the earliest moment of SIGKILL by the terms, 0 without SIGTERM
	Killed   time.Duration // SIGKILL, 0 for none
	Exited   time.Duration
	Status   int
	Crashed  bool          // it ended without a signal, or with an error
	LateTake bool          // it was not ready in time
	Counted  int64         // violations that it counted itself
	HoldUps  []Span        // for which it was stopped
	ReadyAt  time.Duration // since then it serves
}

// Span is a part of a run.
type Span struct{ From, To time.Duration }

// Drain is a node that a front was told of to send nothing new to.
type Drain struct {
	Process int
	Node    string
	Told    time.Duration
	Until   time.Duration // it serves again
}

// BadClient is one that stopped in the middle of a request and stayed.
type BadClient struct {
	Process int
	Began   time.Duration
	Ended   time.Duration // the front answered or closed, 0 where it did not
	Bytes   int           // of its request
	First   bool          // on its connection
}

// Record is all that was seen of a run. Its methods are safe for concurrent use.
type Record struct {
	mu       sync.Mutex
	Requests []Request
	Attempts []Attempt
	Process  []Process
	Drains   []Drain
	Bad      []BadClient
	Window   time.Duration // within which nodes drop repetitions
}

// AddRequest adds a request that has ended.
func (r *Record) AddRequest(x Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Requests = append(r.Requests, x)
}

// AddAttempt adds an attempt that has ended.
func (r *Record) AddAttempt(x Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Attempts = append(r.Attempts, x)
}

// AddDrain adds a drain.
func (r *Record) AddDrain(x Drain) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Drains = append(r.Drains, x)
}

// AddBad adds a client that stopped within a request.
func (r *Record) AddBad(x BadClient) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Bad = append(r.Bad, x)
}

// AddProcess adds a process, and returns its index.
func (r *Record) AddProcess(x Process) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Process = append(r.Process, x)
	return len(r.Process) - 1
}

// Change edits a process.
func (r *Record) Change(index int, edit func(*Process)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	edit(&r.Process[index])
}
