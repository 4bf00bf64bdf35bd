// Package record records the events that a scheduler received at each step and a checksum of its actions. Tests replay such a
// recording to check that a later version of the scheduler makes the same decisions. A checksum in place of the actions keeps
// the recordings small enough for test data.
package record

import (
	"compress/gzip"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"otterturn/internal/lab/world"
	"otterturn/scheduler"
)

// Stream is the recording of one scheduler.
type Stream struct {
	Settings scheduler.Settings
	Seed     int64
	Steps    []Step
}

// Step is one step: its time, its events and the checksum of its actions.
type Step struct {
	_      struct{} `cbor:",toarray"`
	Now    scheduler.Micros
	Events []Event
	Sum    uint32
}

// Event holds one scheduler.Event in the field of its type; the other fields are nil.
type Event struct {
	Endpoints       *scheduler.EndpointsChanged  `cbor:"1,keyasint,omitempty"`
	Request         *scheduler.Request           `cbor:"2,keyasint,omitempty"`
	Attempt         *scheduler.AttemptEnded      `cbor:"3,keyasint,omitempty"`
	Left            *scheduler.ClientLeft        `cbor:"4,keyasint,omitempty"`
	HealthCheck     *scheduler.HealthChecked     `cbor:"5,keyasint,omitempty"`
	Timer           *scheduler.TimerFired        `cbor:"6,keyasint,omitempty"`
	OpenLimit       *scheduler.OpenLimitChanged  `cbor:"7,keyasint,omitempty"`
	SavedState      *scheduler.StateSaved        `cbor:"8,keyasint,omitempty"`
	CapacityRequest *scheduler.CapacityRequested `cbor:"9,keyasint,omitempty"`
	CapacityGrant   *scheduler.CapacityGranted   `cbor:"10,keyasint,omitempty"`
}

func wrap(e scheduler.Event) (out Event) {
	switch e := e.(type) {
	case scheduler.EndpointsChanged:
		out.Endpoints = &e
	case scheduler.Request:
		out.Request = &e
	case scheduler.AttemptEnded:
		out.Attempt = &e
	case scheduler.ClientLeft:
		out.Left = &e
	case scheduler.HealthChecked:
		out.HealthCheck = &e
	case scheduler.TimerFired:
		out.Timer = &e
	case scheduler.OpenLimitChanged:
		out.OpenLimit = &e
	case scheduler.StateSaved:
		out.SavedState = &e
	case scheduler.CapacityRequested:
		out.CapacityRequest = &e
	case scheduler.CapacityGranted:
		out.CapacityGrant = &e
	}
	return out
}

func (e Event) unwrap() scheduler.Event {
	switch {
	case e.Endpoints != nil:
		return *e.Endpoints
	case e.Request != nil:
		return *e.Request
	case e.Attempt != nil:
		return *e.Attempt
	case e.Left != nil:
		return *e.Left
	case e.HealthCheck != nil:
		return *e.HealthCheck
	case e.OpenLimit != nil:
		return *e.OpenLimit
	case e.SavedState != nil:
		return *e.SavedState
	case e.CapacityRequest != nil:
		return *e.CapacityRequest
	case e.CapacityGrant != nil:
		return *e.CapacityGrant
	}
	return scheduler.TimerFired{}
}

// checksum returns the checksum of actions, which depends on their order.
func checksum(actions []scheduler.Action) uint32 {
	d := xxhash.New()
	for _, a := range actions {
		fmt.Fprintf(d, "%s %v\n", recordedName(a), a)
	}
	return uint32(d.Sum64())
}

// recordedName returns the type name of an action that recorded checksums are computed with. It must not change when the
// type is renamed.
func recordedName(a scheduler.Action) string {
	switch a.(type) {
	case scheduler.StartAttempt:
		return "rules.Send"
	case scheduler.Reject:
		return "rules.Refuse"
	case scheduler.Fail:
		return "rules.Fail"
	case scheduler.CancelAttempt:
		return "rules.Cancel"
	case scheduler.CheckHealth:
		return "rules.Probe"
	case scheduler.SetTimer:
		return "rules.SetAlarm"
	case scheduler.SaveState:
		return "rules.WriteDown"
	case scheduler.RequestCapacity:
		return "rules.Ask"
	case scheduler.GrantCapacity:
		return "rules.Grant"
	}
	return fmt.Sprintf("%T", a)
}

// Recorder is a decider that records the steps of another one.
type Recorder struct {
	world.Decider
	Stream Stream
}

// Step passes the events to the decider and records the step.
func (r *Recorder) Step(now scheduler.Micros, events []scheduler.Event) []scheduler.Action {
	step := Step{Now: now}
	for _, e := range events {
		step.Events = append(step.Events, wrap(e))
	}
	actions := r.Decider.Step(now, events)
	step.Sum = checksum(actions)
	r.Stream.Steps = append(r.Stream.Steps, step)
	return actions
}

// Replay passes a recording to a decider. It returns the index of the first step at which the actions differ, with those
// actions, or -1 if none differs.
func (s Stream) Replay(to world.Decider) (step int, actions []scheduler.Action) {
	for i, st := range s.Steps {
		var events []scheduler.Event
		for _, e := range st.Events {
			events = append(events, e.unwrap())
		}
		if actions = to.Step(st.Now, events); checksum(actions) != st.Sum {
			return i, actions
		}
	}
	return -1, nil
}

// Write writes a stream as CBOR compressed with gzip.
func Write(out io.Writer, s Stream) error {
	z, err := gzip.NewWriterLevel(out, gzip.BestCompression)
	if err != nil {
		return err
	}
	if err := cbor.NewEncoder(z).Encode(s); err != nil {
		return fmt.Errorf("write recorded stream: %w", err)
	}
	return z.Close()
}

// Read reads a stream that Write has written.
func Read(in io.Reader) (s Stream, err error) {
	z, err := gzip.NewReader(in)
	if err != nil {
		return s, fmt.Errorf("read recorded stream: %w", err)
	}
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 24}.DecMode()
	if err != nil {
		return s, err
	}
	if err := mode.NewDecoder(z).Decode(&s); err != nil {
		return s, fmt.Errorf("read recorded stream: %w", err)
	}
	return s, nil
}
