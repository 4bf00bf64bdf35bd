package hollow

import (
	"otterturn/internal/net/backoff"
	"otterturn/scheduler"
)

// wholeList in the place of a version asks for the whole list.
const wholeList = -1

// watch is a front's watch on discovery, call by call as the program makes them (transport.Watch).
type watch struct {
	retry   *backoff.Backoff
	version int64
	hold    scheduler.Micros // of the next call
	opens   bool             // the next call begins a watch
	at      scheduler.Micros // of the next call, or when the one that is out counts as failed
	out     bool
	number  uint64
}

func newWatch(f *front, now scheduler.Micros, version int64) watch {
	l := f.world.limits
	p := backoff.New(backoff.Config{Min: l.Discovery.RetryMin, Max: l.Discovery.RetryMax, Spread: l.Discovery.StartSpread}, f.rng.Int64())
	return watch{
		retry: p, version: version, hold: micros(l.Discovery.WatchHold), opens: true, at: now + micros(p.InitialDelay()),
		number: f.watch.number,
	}
}

// pass makes the call that is due, and gives up one that had no answer.
func (c *watch) pass(f *front, end scheduler.Micros) {
	if c.at >= end {
		return
	}
	if c.out {
		c.out, c.hold, c.opens = false, 0, true
		c.at = end + micros(c.retry.Next())
		f.counts.now[listFailures]++
		return
	}
	c.number++
	c.out, c.at = true, end+c.hold+micros(f.world.limits.Discovery.AnswerTimeout)
	f.counts.now[listCalls]++
	f.counts.now[listBytes] += listCallBytes
	f.send(end, message{to: f.world.discovery.id, kind: kindListCall, number: c.number, version: c.version, hold: c.hold, opens: c.opens})
}

// answered takes in an answer of discovery.
func (c *watch) answered(f *front, m *message) {
	if !c.out || m.number != c.number {
		return
	}
	c.out = false
	c.retry.Reset()
	news := m.news
	f.counts.now[listBytes] += int64(news.bytes)
	c.at = m.at
	if c.hold > 0 && len(news.entries) == 0 {
		c.at += micros(f.world.limits.Discovery.RetryMin)
	}
	c.version, c.hold, c.opens = m.version, micros(f.world.limits.Discovery.WatchHold), false
	if len(news.entries) > 0 {
		f.learn(m.at, scheduler.EndpointsChanged{Full: news.whole, Endpoints: news.entries})
	}
	f.world.watched.informed(f, m.version, m.at)
}

// reload asks for the whole list anew, as the program does at SIGHUP.
func (c *watch) reload(f *front, now scheduler.Micros) {
	number := c.number
	*c = newWatch(f, now, wholeList)
	c.number = number
}
