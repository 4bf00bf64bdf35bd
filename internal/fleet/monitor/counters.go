package monitor

import (
	"context"
	"log/slog"
	"sync"

	"otterturn/internal/fleet/health"
)

// Values of health.Drop for datagrams that are dropped before the monitor core processes them.
const (
	DropUnknownSender health.Drop = "no peer"    // the sender's address belongs to no front
	DropTooLong       health.Drop = "too long"   // it exceeds the maximum size of a message
	DropUnknownKind   health.Drop = "of no kind" // it is neither a health message nor a scheduler message
)

// Counters contains the counters of the monitor core and of its shell.
type Counters struct {
	health.Counters
	Lost int64 // observations and messages dropped because the inbox was full
}

// Drops returns the number of dropped messages and entries, over all reasons.
func (c Counters) Drops() (n int64) {
	for _, d := range c.Dropped {
		n += d
	}
	return n
}

// Counters returns the current counters.
func (m *Monitor) Counters(ctx context.Context) (out Counters, err error) {
	err = m.query(ctx, func() {
		out.Counters = m.core.Counters()
		out.Dropped = m.drops.addTo(out.Dropped)
	})
	out.Lost = m.inbox.droppedCount()
	return out, err
}

// CountDrop counts a datagram that was dropped before it reached the monitor. details are attributes of the log line.
func (m *Monitor) CountDrop(why health.Drop, details ...any) { m.drops.add(why, details...) }

// drops counts what the shell dropped. It logs each reason once, also those of the core.
type drops struct {
	log    *slog.Logger
	mu     sync.Mutex
	counts map[health.Drop]int64
	logged map[health.Drop]bool
}

func (d *drops) add(why health.Drop, details ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.counts == nil {
		d.counts = map[health.Drop]int64{}
	}
	d.counts[why]++
	d.logOnce(why, details...)
}

// logNew logs the reasons that the core has counted and that have not been logged before.
func (d *drops) logNew(counts map[health.Drop]int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for why, n := range counts {
		if n > 0 {
			d.logOnce(why)
		}
	}
}

// logOnce logs a reason the first time. The caller holds the lock.
func (d *drops) logOnce(why health.Drop, details ...any) {
	if d.logged[why] {
		return
	}
	if d.logged == nil {
		d.logged = map[health.Drop]bool{}
	}
	d.logged[why] = true
	d.log.Warn("health message dropped, further ones are counted",
		append([]any{"why", string(why)}, details...)...)
}

// addTo returns the sum of the shell's counts and the core's own.
func (d *drops) addTo(own map[health.Drop]int64) map[health.Drop]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[health.Drop]int64{}
	for why, n := range own {
		out[why] += n
	}
	for why, n := range d.counts {
		out[why] += n
	}
	return out
}
