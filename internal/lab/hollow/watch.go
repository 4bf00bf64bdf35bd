package hollow

import (
	"otterturn/internal/net/backoff"
	"otterturn/scheduler"
)

// wholeList as the version of a call requests the full list.
const wholeList = -1

// watch makes a front's calls to discovery in the same way as the program (transport.Watch).
type watch struct {
	retry   *backoff.Backoff
	version int64
	hold    scheduler.Micros // of the next call
	opens   bool             // the next call is the first one of a watch
	at      scheduler.Micros // time of the next call, or when the pending call counts as failed
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

// pass makes the next call if it is due. If the pending call has reached its timeout, it fails that and schedules a retry.
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

// answered handles an answer of discovery.
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

// reload starts a new watch with a request for the full list, as the program does after SIGHUP.
func (c *watch) reload(f *front, now scheduler.Micros) {
	number := c.number
	*c = newWatch(f, now, wholeList)
	c.number = number
}
