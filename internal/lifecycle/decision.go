package lifecycle

import (
	"fmt"
	"time"

	"otterturn/internal/limits"
)

// Operation is a kind of action that the guard allows or denies.
type Operation int

// The operations.
const (
	Accept          Operation = iota // accept a client's connection
	Take                             // accept a request that was read completely
	Send                             // begin the first attempt of a request at a node
	Retry                            // begin a further attempt
	Stream                           // send a part of a long request before its attempt begins
	Answer                           // write a final answer
	EndIdle                          // close a connection between two requests
	EndIncomplete                    // close a connection, or answer, while a request has been received only in part
	HandOver                         // pass state and connections to another process of this front
	StartBackground                  // start work that no client waits for: a discovery watch, a health check, a save
	operationCount                   // number of operations
)

var operationNames = [operationCount]string{
	"accept", "take", "send", "retry", "stream", "answer", "end_idle", "end_incomplete", "hand_over", "start_background",
}

// String returns the operation's name in logs and metrics.
func (o Operation) String() string {
	if o < 0 || o >= operationCount {
		return "unknown"
	}
	return operationNames[o]
}

// Operations returns all operations.
func Operations() []Operation {
	all := make([]Operation, operationCount)
	for i := range all {
		all[i] = Operation(i)
	}
	return all
}

// Reason is the reason why an operation is denied.
type Reason int

// The reasons. Allowed means that the operation is not denied.
const (
	Allowed Reason = iota
	PastDeadline
	TooLittleTime
	ShuttingDown
	NotShuttingDown
)

var reasonNames = [...]string{"allowed", "past its deadline", "too little time left", "shutting down", "not shutting down"}

// String returns the reason in words.
func (r Reason) String() string { return reasonNames[r] }

// DeniedError reports that an operation must not be carried out now.
type DeniedError struct {
	Operation Operation
	Reason    Reason
}

func (e *DeniedError) Error() string { return fmt.Sprintf("%v denied: %v", e.Operation, e.Reason) }

// Phase is a phase of a shutdown.
type Phase int

// The phases, in order.
const (
	Serving  Phase = iota // no shutdown
	Draining              // open connections may bring new requests
	Closing               // idle connections are closed; requests in transit are still accepted
	Ending                // all requests must be answered: new ones are rejected at once
)

var phaseNames = [...]string{"serving", "draining", "closing", "ending"}

// String returns the phase's name in logs.
func (p Phase) String() string { return phaseNames[p] }

// state holds the data on which decisions are based. It is immutable: a change replaces it.
type state struct {
	limits        limits.StopLimits // of the settings in force; during a shutdown, the strictest in force since it began
	shutdownStart time.Time         // start of the shutdown, zero before
}

func (s state) stopping() bool { return !s.shutdownStart.IsZero() }

func (s state) phase(now time.Time) Phase {
	if !s.stopping() {
		return Serving
	}
	since := now.Sub(s.shutdownStart)
	switch {
	case since >= s.limits.Answer:
		return Ending
	case since >= s.limits.Serve && since >= s.limits.Accept:
		return Closing
	}
	return Draining
}

// answerBy returns the time at which all requests must be answered during a shutdown.
func (s state) answerBy() time.Time { return s.shutdownStart.Add(s.limits.Answer) }

// decide returns why an operation must not be carried out now, or Allowed. deadline is the operation's own, zero for none.
func (s state) decide(op Operation, now, deadline time.Time) Reason {
	phase := s.phase(now)
	switch op {
	case Accept:
		if phase >= Closing {
			return ShuttingDown
		}
	case Take, Send, Retry, Stream:
		switch {
		case !deadline.IsZero() && !now.Before(deadline):
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

// deadline returns the deadline of a request whose client waits for the time left: the end of that time, or the time by which a
// shutdown requires all answers if that is earlier.
func (s state) deadline(now time.Time, left time.Duration) time.Time {
	clientDeadline := now.Add(left)
	if by := s.answerBy(); s.stopping() && by.Before(clientDeadline) {
		return by
	}
	return clientDeadline
}

// overdue returns how late an operation was that ended now, or 0. deadline is the operation's own, zero for none. During a
// shutdown its limits apply too. A stall of the process up to the limit does not count as late.
func (s state) overdue(op Operation, now, deadline time.Time) time.Duration {
	var late time.Duration
	if !deadline.IsZero() {
		late = now.Sub(deadline) - s.limits.MaxStall
	}
	if s.stopping() {
		bound := s.limits.Answer + s.limits.MaxStall
		if op == Answer {
			bound = s.limits.Kill
		}
		late = max(late, now.Sub(s.shutdownStart)-bound)
	}
	return max(late, 0)
}
