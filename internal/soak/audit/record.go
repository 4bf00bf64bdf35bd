// Package audit is the test oracle of the soak: it checks what clients, nodes and the platform observed against the rules documented for
// operators. It imports no package of the program, so that a fault of the program is not repeated here. Times are monotonic and count from
// the start of the run.
package audit

import (
	"slices"
	"sync"
	"time"
)

// Idempotency states whether a request may run again after an attempt that may have run.
type Idempotency int

// Values of Idempotency.
const (
	Repeatable Idempotency = iota // may run any number of times
	Keyed                         // may be repeated within the window, in which nodes drop repetitions
	Once                          // must not run twice
)

// Ending states how a request ended for its client.
type Ending int

// Values of Ending.
const (
	Open     Ending = iota // no answer came while the client waited
	Answered               // one complete answer
	Cut                    // an answer started and did not complete
	Closed                 // the connection ended without a byte of an answer
	Left                   // the client closed its connection
)

// Request is a request that a client sent completely.
type Request struct {
	ID          string
	Idempotency Idempotency
	Process     int           // index of the process that it was sent to
	Sent        time.Duration // when its last byte was written
	Wait        time.Duration // time for which its client waits
	Ending      Ending
	Ended       time.Duration
	Status      int  // of the answer
	Long        bool // its body is too long for a front to buffer completely
}

// Attempt is a request as a node observed it.
type Attempt struct {
	ID, Node  string
	FirstByte time.Duration // its first byte arrived
	LastByte  time.Duration // its last byte arrived, 0 if it did not
	Ended     time.Duration // the node answered or the connection ended, 0 if neither happened
	TimeLeft  time.Duration // time left that the front announced, below 0 for none
	Rejected  bool          // the node rejected it without executing it
}

// Process is one process of a front.
type Process struct {
	Front             int
	Name              string
	TermAt            time.Duration // the first SIGTERM, 0 for none
	KillDue           time.Duration // the earliest permitted moment of SIGKILL, 0 without SIGTERM
	KilledAt          time.Duration // SIGKILL, 0 for none
	ExitedAt          time.Duration
	Status            int
	Crashed           bool          // it ended without SIGTERM and SIGKILL, or with an error status after SIGTERM
	NotReady          bool          // it was not ready in time
	CountedViolations int64         // violations that the process counted itself
	Stalls            []Span        // times in which it was stopped
	ReadyAt           time.Duration // it became ready
	PeakMemory        int64         // highest resident memory in bytes
}

// Span is a time span of a run.
type Span struct{ From, To time.Duration }

// Drain is the draining of a node, as announced to one process.
type Drain struct {
	Process     int
	Node        string
	AnnouncedAt time.Duration
	Until       time.Duration // the node is up again
}

// BadClient is a client that stopped in the middle of a request and kept its connection open.
type BadClient struct {
	Process int
	Began   time.Duration
	Ended   time.Duration // the front answered or closed the connection, 0 if it did neither
	Bytes   int           // sent of the request
	First   bool          // the first request on its connection
}

// Record holds all observations of a run. Its methods are safe for concurrent use.
type Record struct {
	mu         sync.Mutex
	Requests   []Request
	Attempts   []Attempt
	Processes  []Process
	Drains     []Drain
	BadClients []BadClient
	Window     time.Duration // nodes drop repeated requests within this time

	MemoryLimit int64 // resident memory that a process may use, in bytes
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

// AllAttempts returns the attempts that have ended.
func (r *Record) AllAttempts() []Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.Attempts)
}

// AddDrain adds a drain.
func (r *Record) AddDrain(x Drain) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Drains = append(r.Drains, x)
}

// AddBadClient adds a client that stopped in the middle of a request.
func (r *Record) AddBadClient(x BadClient) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.BadClients = append(r.BadClients, x)
}

// AddProcess adds a process and returns its index.
func (r *Record) AddProcess(x Process) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Processes = append(r.Processes, x)
	return len(r.Processes) - 1
}

// UpdateProcess edits a process.
func (r *Record) UpdateProcess(index int, edit func(*Process)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	edit(&r.Processes[index])
}
