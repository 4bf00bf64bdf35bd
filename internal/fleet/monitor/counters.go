package monitor

import (
	"context"
	"log/slog"
	"sync"

	"otterturn/internal/fleet/health"
)

// Kinds of health.Drop that the shell finds, before the monitor gets to see a message.
const (
	DropUnknownSender health.Drop = "no peer"    // the sender's address is no front's
	DropTooLong       health.Drop = "too long"   // it has more bytes than a message may have
	DropUnknownKind   health.Drop = "of no kind" // it is neither a message nor a note
)

// Counters are those of the monitor, and what its shell counts beside it.
type Counters struct {
	health.Counters
	Lost int64 // observations and messages that the inbox had no room for
}

// Drops is how many messages or entries were dropped, for whatever reason.
func (c Counters) Drops() (n int64) {
	for _, d := range c.Dropped {
		n += d
	}
	return n
}

// Counters tells what was counted so far.
func (m *Monitor) Counters(ctx context.Context) (out Counters, err error) {
	err = m.query(ctx, func() {
		out.Counters = m.core.Counters()
		out.Dropped = m.drops.addTo(out.Dropped)
	})
	out.Lost = m.inbox.droppedCount()
	return out, err
}

// Drop counts a datagram that was dropped before the monitor could see it. details are for the log.
func (m *Monitor) Drop(why health.Drop, details ...any) { m.drops.add(why, details...) }

// drops counts what was dropped ahead of the monitor, and logs each reason once, whoever found it.
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

// logNew takes in what the monitor itself dropped so far.
func (d *drops) logNew(counts map[health.Drop]int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for why, n := range counts {
		if n > 0 {
			d.logOnce(why)
		}
	}
}

// logOnce logs a reason the first time. The lock is held.
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

// addTo adds what was counted here to the monitor's own counts.
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
