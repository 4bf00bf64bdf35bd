package scheduler

import "otterturn/scheduler/slowstart"

// Action is something that the scheduler wants done, in the order given.
type Action interface{ action() }

// Send starts an attempt. Attempts of a request are numbered from 0 in the order of their sends.
type Send struct {
	ID    string
	Node  string
	Until Micros // it must not begin later, 0 for no bound beside the request's time
}

// Refuse is a final answer: the client may harmlessly try again.
type Refuse struct {
	ID         string
	RetryAfter Micros // the client should stay away so long, 0 for no advice
	Why        Reason
}

// Fail is a final answer that promises nothing.
type Fail struct {
	ID  string
	Why Reason
}

// Reason is why a request is given up on, for those who look for causes.
type Reason string

// The kinds of Reason.
const (
	Unusable  Reason = "unusable"    // its class or plan is unknown
	NoRepeat  Reason = "no repeat"   // the attempt failed, and there is no time left or none may follow
	NotInTime Reason = "not in time" // what it waits for won't come before its client leaves, or leaves no time to come again
	NoRoom    Reason = "no room"     // more is open than there is room for, and it earns least
)

// Cancel ends the wait for an attempt.
type Cancel struct {
	ID      string
	Attempt int
}

// Probe asks a node for its health and load.
type Probe struct{ Node string }

// WriteDown asks for a record of what is learned, as a volume's lease runs low.
type WriteDown struct{}

// Ask is Asked, on its way to the host of a number.
type Ask struct {
	To    int
	Node  string
	Since Micros
	slowstart.Wish
}

// Grant is Granted, on its way to the host of a number.
type Grant struct {
	To    int
	Node  string
	Units float64
	Until Micros
}

// SetAlarm asks for an Alarm.
type SetAlarm struct{ At Micros }

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Cancel) action()    {}
func (Probe) action()     {}
func (SetAlarm) action()  {}
func (WriteDown) action() {}
func (Ask) action()       {}
func (Grant) action()     {}
