package scheduler

import "otterturn/scheduler/slowstart"

// Action is something that the scheduler wants done. Actions are carried out in the order given.
type Action interface{ action() }

// StartAttempt sends a request to a node. AttemptEnded is to follow. Attempts of a request are numbered from 0 in the order
// in which they start.
type StartAttempt struct {
	ID      string // of the request
	Node    string
	BeginBy Micros // the first byte must not be sent later; 0 for no bound beside the request's deadline
}

// Reject is a final answer: the client may harmlessly retry.
type Reject struct {
	ID         string
	RetryAfter Micros // the client should stay away for so long, 0 for no advice
	Reason     Reason
}

// Fail is a final answer that promises nothing: the request may have run.
type Fail struct {
	ID     string
	Reason Reason
}

// Reason is why a request was given up, for logs.
type Reason string

// The kinds of Reason. Their texts are in logs, and in recorded digests.
const (
	InvalidRequest      Reason = "unusable"    // its class or plan is unknown
	NotRetryable        Reason = "no repeat"   // the attempt failed, and no retry is allowed or in time
	DeadlineUnreachable Reason = "not in time" // no answer is expected before the client leaves, or while it can still retry
	OverCapacity        Reason = "no room"     // too many requests are open, and this one is worth least
)

// CancelAttempt ends the wait for an attempt.
type CancelAttempt struct {
	ID      string
	Attempt int
}

// CheckHealth asks for a health check of a node. HealthChecked is to follow.
type CheckHealth struct{ Node string }

// SaveState asks for a record of what was learned, as a volume's lease runs low. StateSaved is to follow.
type SaveState struct{}

// RequestCapacity asks the front of a number for capacity at a node in slow start, where it arrives as CapacityRequested.
type RequestCapacity struct {
	To        int
	Node      string
	StartedAt Micros
	slowstart.CapacityRequest
}

// GrantCapacity answers the front of a number, where it arrives as CapacityGranted.
type GrantCapacity struct {
	To         int
	Node       string
	Units      float64
	ValidUntil Micros
}

// SetTimer asks for a TimerFired at a time. It takes the place of an earlier one.
type SetTimer struct{ At Micros }

func (StartAttempt) action()    {}
func (Reject) action()          {}
func (Fail) action()            {}
func (CancelAttempt) action()   {}
func (CheckHealth) action()     {}
func (SaveState) action()       {}
func (RequestCapacity) action() {}
func (GrantCapacity) action()   {}
func (SetTimer) action()        {}
