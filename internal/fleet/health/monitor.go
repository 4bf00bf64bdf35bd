package health

import "otterturn/rules"

// Monitor is the core of one front. It belongs to one goroutine.
type Monitor struct {
	config Config
	now    rules.Micros
	out    []Action
	counts Counters
	passed map[string]bool
}

// New returns a Monitor that knows no node.
func New(c Config) (*Monitor, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return &Monitor{config: c, passed: map[string]bool{}, counts: Counters{Dropped: map[Drop]int64{}}}, nil
}

// Reconfigure takes another Config, whole or not at all, and keeps what still holds.
func (m *Monitor) Reconfigure(c Config) error {
	if err := c.Validate(); err != nil {
		return err
	}
	m.config = c
	return nil
}

// Counters returns what was done since the start.
func (m *Monitor) Counters() Counters { return m.counts }

// Unreadable counts a datagram that Decode refused.
func (m *Monitor) Unreadable() { m.counts.Dropped[DropUnreadable]++ }

// Step takes events in and returns what is to be done. Times must not go back.
func (m *Monitor) Step(now rules.Micros, events []Event) []Action {
	m.now, m.out = now, nil
	for _, e := range events {
		switch e := e.(type) {
		case ProbeWanted:
			m.passed[e.Node] = true
			m.out = append(m.out, StartProbe(e))
		case ProbeEnded:
			if m.passed[e.Node] {
				delete(m.passed, e.Node)
				m.out = append(m.out, ProbeAnswered(e))
			}
		}
	}
	return m.out
}
