package monitor

import (
	"sync"

	"otterturn/internal/fleet/health"
)

// entry is an event for the monitor core, or a function to run between its steps.
type entry struct {
	event health.Event
	query func()
}

// inbox is a queue whose senders never block. Inputs without a bound on their number use offer, which drops them if the
// queue is full. Inputs of put are bounded by their causes: ends of attempts by the accepted starts, ends of probes by the
// requested probes, and so on.
type inbox struct {
	capacity int
	notify   chan struct{} // holds one element while there may be entries

	mu      sync.Mutex
	entries []entry
	dropped int64 // number of offered events that were dropped
}

func newInbox(capacity int) *inbox { return &inbox{capacity: capacity, notify: make(chan struct{}, 1)} }

// put adds an event, even if the queue is full.
func (b *inbox) put(e health.Event) { b.add(entry{event: e}) }

func (b *inbox) add(e entry) {
	b.mu.Lock()
	b.entries = append(b.entries, e)
	b.mu.Unlock()
	b.wake()
}

// offer adds an event and returns true. If the queue is full, it counts the event as dropped and returns false.
func (b *inbox) offer(e health.Event) bool {
	b.mu.Lock()
	full := len(b.entries) >= b.capacity
	if full {
		b.dropped++
	} else {
		b.entries = append(b.entries, entry{event: e})
	}
	b.mu.Unlock()
	b.wake()
	return !full
}

func (b *inbox) wake() {
	select {
	case b.notify <- struct{}{}:
	default:
	}
}

// drain removes and returns all entries.
func (b *inbox) drain() []entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.entries
	b.entries = nil
	return out
}

// droppedCount returns the number of dropped events.
func (b *inbox) droppedCount() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}
