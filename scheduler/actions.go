package scheduler

import "otterturn/scheduler/slowstart"

// Action is something that the scheduler wants done. The caller carries out actions in the order given.
type Action interface{ action() }

// StartAttempt sends a request to a node. An AttemptEnded must follow. The attempts of a request are numbered from 0 in
// the order in which they start.
type StartAttempt struct {
	ID      string // of the request
	Node    string
	BeginBy Micros // the first byte must not be sent later; 0 if only the request's deadline applies
}

// Reject is a final answer to a client that may safely retry.
type Reject struct {
	ID         string
	RetryAfter Micros // time after which the client should retry, 0 for no advice
	Reason     Reason
}

// Fail is a final answer to a client for whom a retry may be unsafe: the request may have run.
type Fail struct {
	ID     string
	Reason Reason
}

// Reason tells why a request was given up. It is meant for logs.
type Reason string

// The kinds of Reason. Their texts appear in logs and in recorded digests.
const (
	InvalidRequest      Reason = "unusable"    // its class or plan is unknown
	NotRetryable        Reason = "no repeat"   // the attempt failed, and no retry is allowed or in time
	DeadlineUnreachable Reason = "not in time" // no answer is expected before the client leaves or in time for its retry
	OverCapacity        Reason = "no room"     // too many requests are open, and this one is the least valuable
)

// CancelAttempt cancels an outstanding attempt. An AttemptEnded must follow.
type CancelAttempt struct {
	ID      string
	Attempt int
}

// CheckHealth starts a health check of a node. A HealthChecked must follow.
type CheckHealth struct{ Node string }

// SaveState saves the learned state, because a volume's lease is running low. A StateSaved must follow.
type SaveState struct{}

// RequestCapacity asks the front with index To for capacity at a node in slow start. It arrives there as
// CapacityRequested.
type RequestCapacity struct {
	To        int
	Node      string
	StartedAt Micros
	slowstart.CapacityRequest
}

// GrantCapacity grants capacity to the front with index To. It arrives there as CapacityGranted.
type GrantCapacity struct {
	To         int
	Node       string
	Units      float64
	ValidUntil Micros
}

// SetTimer schedules a TimerFired and replaces an earlier SetTimer.
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
