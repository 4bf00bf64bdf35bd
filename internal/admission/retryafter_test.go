package admission

import (
	"fmt"
	"testing"
)

// Clients that retry when they are told to are admitted or queued then, even if the clients of every second project retry each
// millisecond instead. Guards against retry times that are too short, and against so long ones that capacity is unused.
func TestRetriesOnTimeAreAdmitted(t *testing.T) {
	for _, others := range []string{"retry on time", "retry at once"} {
		retries, accepted, finished := simulateRetries(others == "retry at once")
		minTime := 3000 / 2.5 * 1000 // microseconds, at 50 every 20 ms
		t.Logf("others %s: %d retries on time, %d of them admitted or queued; finished after %d ms, at least %.0f needed", others,
			retries, accepted, finished/1000, minTime/1000)
		// The time beyond the minimum is unused capacity, which must stay under 5%.
		if float64(accepted) < 0.9*float64(retries) || others == "retry on time" && float64(finished) > 1.05*minTime {
			t.Errorf("others %s: %d retries on time, %d of them admitted or queued; finished after %d ms, at least %.0f needed", others,
				retries, accepted, finished/1000, minTime/1000)
		}
	}
}

// simulateRetries simulates 3,000 requests of 300 projects that arrive at once at a queue whose rate is known. The clients of
// rejected requests retry when they are told to; if someEarly is set, those of every second project retry after a millisecond
// instead. It returns the number of retries on time, how many of them were admitted or queued, and after which time no request
// was left to admit.
func simulateRetries(someEarly bool) (retries, accepted int, finished int64) {
	type client struct {
		at      int64
		name    string
		isRetry bool
		onTime  bool
	}
	s := newSimulation(50, 200)
	now := int64(0)
	for ; now < 500_000; now += 1000 { // so that the queue knows the rate at which requests leave
		s.advance(now)
		s.arrive(now, fmt.Sprint("before-", s.rng.IntN(50)), "client")
	}
	begin := now
	var out []client
	usedQueues := map[*project]bool{} // one project per queue: projects that share one share its promised times and get later ones
	var names []string
	for i := 0; len(names) < 300; i++ {
		name := fmt.Sprint("project-", i)
		if p, _ := s.q.find(name, ""); !usedQueues[p] {
			usedQueues[p], names = true, append(names, name)
		}
	}
	for i := range 3000 { // all at the same time
		out = append(out, client{now, names[i%300], false, !someEarly || i%2 == 0})
	}
	var evicted []client
	onTime := map[string]bool{}
	for _, c := range out {
		onTime[c.name] = c.onTime
	}
	s.out = func(project string, later int64) {
		evicted = append(evicted, client{now + later, project, true, onTime[project]})
	}
	for ; len(out)+s.q.Waiting() > 0 && now < begin+20_000_000; now += 1000 {
		s.advance(now)
		var later []client
		for _, c := range out {
			if c.at > now {
				later = append(later, c)
				continue
			}
			retryAfter, rejected := s.arrive(now, c.name, "client")
			if c.isRetry && c.onTime {
				retries++
			}
			switch {
			case rejected && !c.onTime:
				later = append(later, client{now + 1000, c.name, true, false})
			case rejected:
				later = append(later, client{now + max(retryAfter, 1000), c.name, true, true})
			case c.isRetry && c.onTime:
				accepted++
			}
		}
		out, evicted = append(later, evicted...), nil
	}
	return retries, accepted, now - begin
}
