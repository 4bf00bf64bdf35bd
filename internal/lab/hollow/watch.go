package hollow

import (
	"otterturn/internal/net/backoff"
	"otterturn/scheduler"
)

// fullList as the version of a call requests the full list.
const fullList = -1

// watch makes a front's calls to discovery in the same way as the program (transport.Watch).
type watch struct {
	retry     *backoff.Backoff
	version   int64
	hold      scheduler.Micros // of the next call
	firstCall bool             // the next call is the first one of a watch
	dueAt     scheduler.Micros // time of the next call, or when the pending call counts as failed
	pending   bool
	number    uint64
}

func newWatch(f *front, now scheduler.Micros, version int64) watch {
	l := f.world.limits
	retry := backoff.New(backoff.Config{Min: l.Discovery.RetryMin, Max: l.Discovery.RetryMax, Spread: l.Discovery.StartSpread}, f.rng.Int64())
	return watch{
		retry: retry, version: version, hold: micros(l.Discovery.WatchHold), firstCall: true, dueAt: now + micros(retry.InitialDelay()),
		number: f.watch.number,
	}
}

// advance makes the next call if it is due. If the pending call has timed out, it schedules a retry instead.
func (c *watch) advance(f *front, end scheduler.Micros) {
	if c.dueAt >= end {
		return
	}
	if c.pending {
		c.pending, c.hold, c.firstCall = false, 0, true
		c.dueAt = end + micros(c.retry.Next())
		f.counts.currentSecond[listFailures]++
		return
	}
	c.number++
	c.pending, c.dueAt = true, end+c.hold+micros(f.world.limits.Discovery.AnswerTimeout)
	f.counts.currentSecond[listCalls]++
	f.counts.currentSecond[listBytes] += listCallBytes
	f.send(end, message{
		to: f.world.discovery.id, kind: kindListCall, number: c.number, version: c.version, maxHold: c.hold,
		firstCall: c.firstCall,
	})
}

// handleAnswer passes a list update to the front and schedules the next call.
func (c *watch) handleAnswer(f *front, m *message) {
	if !c.pending || m.number != c.number {
		return
	}
	c.pending = false
	c.retry.Reset()
	update := m.update
	f.counts.currentSecond[listBytes] += int64(update.bytes)
	c.dueAt = m.at
	if c.hold > 0 && len(update.entries) == 0 {
		c.dueAt += micros(f.world.limits.Discovery.RetryMin)
	}
	c.version, c.hold, c.firstCall = m.version, micros(f.world.limits.Discovery.WatchHold), false
	if len(update.entries) > 0 {
		f.updateList(m.at, scheduler.EndpointsChanged{Full: update.full, Endpoints: update.entries})
	}
	f.world.watched.recordInformed(f, m.version, m.at)
}

// reload starts a new watch with a request for the full list, as the program does after SIGHUP.
func (c *watch) reload(f *front, now scheduler.Micros) {
	number := c.number
	*c = newWatch(f, now, fullList)
	c.number = number
}
