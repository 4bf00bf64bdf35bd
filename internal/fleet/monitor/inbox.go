package monitor

import (
	"sync"

	"otterturn/internal/fleet/health"
)

// entry is an event on its way to the monitor, or a function that it is to run.
type entry struct {
	event health.Event
	query func()
}

// inbox is a queue that never blocks those who put something into it. What others may send without end is offered, and
// dropped where the queue is full. What is put is bounded by its cause: ends of attempts by those that were started,
// ends of probes by those that were wanted, and so on.
type inbox struct {
	room    int
	waiting chan struct{} // holds one while there may be entries

	mu      sync.Mutex
	entries []entry
	dropped int64 // offered without room
}

func newInbox(room int) *inbox { return &inbox{room: room, waiting: make(chan struct{}, 1)} }

// put adds an event, also where the queue is full.
func (b *inbox) put(e health.Event) { b.add(entry{event: e}) }

func (b *inbox) add(e entry) {
	b.mu.Lock()
	b.entries = append(b.entries, e)
	b.mu.Unlock()
	b.wake()
}

// offer adds an event, or counts it as lost and returns false where the queue is full.
func (b *inbox) offer(e health.Event) bool {
	b.mu.Lock()
	full := len(b.entries) >= b.room
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
	case b.waiting <- struct{}{}:
	default:
	}
}

// drain empties the queue.
func (b *inbox) drain() []entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.entries
	b.entries = nil
	return out
}

// droppedCount tells how many events found no room.
func (b *inbox) droppedCount() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}
