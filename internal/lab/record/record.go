// Package record keeps the events that a scheduler was given, step by step, and a sum of what it decided, small enough to
// be test data: a later scheduler is held to the same decisions.
package record

import (
	"compress/gzip"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"otterturn/internal/lab/world"
	"otterturn/rules"
)

// Stream is what one scheduler met.
type Stream struct {
	Settings rules.Settings
	Seed     int64
	Steps    []Step
}

// Step is one step: its time, its events, and the sum of the actions.
type Step struct {
	_      struct{} `cbor:",toarray"`
	Now    rules.Micros
	Events []Event
	Sum    uint32
}

// Event is one of the kinds of rules.Event; the others are nil.
type Event struct {
	Nodes   *rules.Nodes    `cbor:"1,keyasint,omitempty"`
	Request *rules.Request  `cbor:"2,keyasint,omitempty"`
	Outcome *rules.Outcome  `cbor:"3,keyasint,omitempty"`
	Lapsed  *rules.Lapsed   `cbor:"4,keyasint,omitempty"`
	Probed  *rules.Probed   `cbor:"5,keyasint,omitempty"`
	Alarm   *rules.Alarm    `cbor:"6,keyasint,omitempty"`
	Room    *rules.Room     `cbor:"7,keyasint,omitempty"`
	Written *rules.Recorded `cbor:"8,keyasint,omitempty"`
	Asked   *rules.Asked    `cbor:"9,keyasint,omitempty"`
	Granted *rules.Granted  `cbor:"10,keyasint,omitempty"`
}

func wrap(e rules.Event) (out Event) {
	switch e := e.(type) {
	case rules.Nodes:
		out.Nodes = &e
	case rules.Request:
		out.Request = &e
	case rules.Outcome:
		out.Outcome = &e
	case rules.Lapsed:
		out.Lapsed = &e
	case rules.Probed:
		out.Probed = &e
	case rules.Alarm:
		out.Alarm = &e
	case rules.Room:
		out.Room = &e
	case rules.Recorded:
		out.Written = &e
	case rules.Asked:
		out.Asked = &e
	case rules.Granted:
		out.Granted = &e
	}
	return out
}

func (e Event) unwrap() rules.Event {
	switch {
	case e.Nodes != nil:
		return *e.Nodes
	case e.Request != nil:
		return *e.Request
	case e.Outcome != nil:
		return *e.Outcome
	case e.Lapsed != nil:
		return *e.Lapsed
	case e.Probed != nil:
		return *e.Probed
	case e.Room != nil:
		return *e.Room
	case e.Written != nil:
		return *e.Written
	case e.Asked != nil:
		return *e.Asked
	case e.Granted != nil:
		return *e.Granted
	}
	return rules.Alarm{}
}

// sum is that of actions, in their order.
func sum(actions []rules.Action) uint32 {
	d := xxhash.New()
	for _, a := range actions {
		fmt.Fprintf(d, "%T %v\n", a, a)
	}
	return uint32(d.Sum64())
}

// Recorder records what a decider meets.
type Recorder struct {
	world.Decider
	Stream Stream
}

// Step has the decider decide.
func (r *Recorder) Step(now rules.Micros, events []rules.Event) []rules.Action {
	step := Step{Now: now}
	for _, e := range events {
		step.Events = append(step.Events, wrap(e))
	}
	actions := r.Decider.Step(now, events)
	step.Sum = sum(actions)
	r.Stream.Steps = append(r.Stream.Steps, step)
	return actions
}

// Replay gives a stream to a scheduler, and tells the first step at which it decides otherwise, below 0 for none, with
// what it decides there.
func (s Stream) Replay(to world.Decider) (step int, actions []rules.Action) {
	for i, st := range s.Steps {
		var events []rules.Event
		for _, e := range st.Events {
			events = append(events, e.unwrap())
		}
		if actions = to.Step(st.Now, events); sum(actions) != st.Sum {
			return i, actions
		}
	}
	return -1, nil
}

// Write writes a stream, compressed.
func Write(out io.Writer, s Stream) error {
	z, err := gzip.NewWriterLevel(out, gzip.BestCompression)
	if err != nil {
		return err
	}
	if err := cbor.NewEncoder(z).Encode(s); err != nil {
		return fmt.Errorf("write a stream: %w", err)
	}
	return z.Close()
}

// Read reads one.
func Read(in io.Reader) (s Stream, err error) {
	z, err := gzip.NewReader(in)
	if err != nil {
		return s, fmt.Errorf("read a stream: %w", err)
	}
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 24}.DecMode()
	if err != nil {
		return s, err
	}
	if err := mode.NewDecoder(z).Decode(&s); err != nil {
		return s, fmt.Errorf("read a stream: %w", err)
	}
	return s, nil
}
