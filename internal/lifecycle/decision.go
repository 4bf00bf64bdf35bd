package lifecycle

import (
	"fmt"
	"time"

	"otterturn/internal/limits"
)

// Operation is what a path of the program is about to do.
type Operation int

// The operations that are decided on.
const (
	Accept          Operation = iota // take a client's connection
	Take                             // take a request that was read whole
	Send                             // begin the first attempt of a request at a node
	Retry                            // begin a further one
	Stream                           // send a piece of a long request ahead of its attempt
	Answer                           // write a final answer
	EndIdle                          // end a connection between two requests
	EndIncomplete                    // end a connection, or answer, within a request that has not come whole
	HandOver                         // give state and connections to another process of this front
	StartBackground                  // begin work that no client waits for: a watch, a health check, a save
	operationCount                   // not an operation
)

var operationNames = [operationCount]string{
	"accept", "take", "send", "retry", "stream", "answer", "end_idle", "end_incomplete", "hand_over", "start_background",
}

// String is the operation's name in logs and figures.
func (o Operation) String() string {
	if o < 0 || o >= operationCount {
		return "unknown"
	}
	return operationNames[o]
}

// Operations lists all operations.
func Operations() []Operation {
	all := make([]Operation, operationCount)
	for i := range all {
		all[i] = Operation(i)
	}
	return all
}

// Reason is why an operation is denied.
type Reason int

// The reasons; Allowed is none.
const (
	Allowed Reason = iota
	PastDeadline
	TooLittleTime
	ShuttingDown
	NotShuttingDown
)

var reasonNames = [...]string{"allowed", "past its deadline", "too little time left", "shutting down", "not shutting down"}

// String is the reason in words.
func (r Reason) String() string { return reasonNames[r] }

// DeniedError tells that an operation must not be carried out now.
type DeniedError struct {
	Operation Operation
	Reason    Reason
}

func (e *DeniedError) Error() string { return fmt.Sprintf("%v denied: %v", e.Operation, e.Reason) }

// Phase is how far a shutdown has come.
type Phase int

// The phases, in their order.
const (
	Serving  Phase = iota // no shutdown
	Draining              // open connections bring requests
	Closing               // idle connections are ended; requests that were under way are taken
	Ending                // all requests must be answered: what comes is rejected at once
)

var phaseNames = [...]string{"serving", "draining", "closing", "ending"}

// String is the phase's name in logs.
func (p Phase) String() string { return phaseNames[p] }

// state is what decisions go by. It is never changed, but replaced.
type state struct {
	limits limits.StopLimits // of the settings in force; in a shutdown, the strictest in force since it began
	began  time.Time         // of the shutdown, zero before
}

func (s state) stopping() bool { return !s.began.IsZero() }

func (s state) phase(now time.Time) Phase {
	if !s.stopping() {
		return Serving
	}
	since := now.Sub(s.began)
	switch {
	case since >= s.limits.Answer:
		return Ending
	case since >= s.limits.Serve && since >= s.limits.Accept:
		return Closing
	}
	return Draining
}

// answerBy is when all requests must be answered, in a shutdown.
func (s state) answerBy() time.Time { return s.began.Add(s.limits.Answer) }

// decide tells whether an operation that has time until by may be carried out now.
func (s state) decide(op Operation, now, by time.Time) Reason {
	phase := s.phase(now)
	switch op {
	case Accept:
		if phase >= Closing {
			return ShuttingDown
		}
	case Take, Send, Retry, Stream:
		switch {
		case !by.IsZero() && !now.Before(by):
			return PastDeadline
		case phase >= Ending:
			return ShuttingDown
		case phase > Serving && s.answerBy().Sub(now) < s.limits.MinTime:
			return TooLittleTime
		}
	case EndIdle:
		if phase < Closing {
			return NotShuttingDown
		}
	case EndIncomplete:
		if phase < Ending {
			return NotShuttingDown
		}
	case HandOver, StartBackground:
		if phase >= Ending {
			return ShuttingDown
		}
	}
	return Allowed
}

// deadline is until when a request may take that has so long from now.
func (s state) deadline(now time.Time, left time.Duration) time.Time {
	own := now.Add(left)
	if by := s.answerBy(); s.stopping() && by.Before(own) {
		return by
	}
	return own
}

// overdue tells by how much an operation that ended now was late, 0 where it was not. by is the time it had.
func (s state) overdue(op Operation, now, by time.Time) time.Duration {
	var late time.Duration
	if !by.IsZero() {
		late = now.Sub(by) - s.limits.HoldUp
	}
	if s.stopping() {
		bound := s.limits.Answer + s.limits.HoldUp
		if op == Answer {
			bound = s.limits.Kill
		}
		late = max(late, now.Sub(s.began)-bound)
	}
	return max(late, 0)
}
