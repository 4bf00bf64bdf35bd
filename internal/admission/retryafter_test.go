package admission

import (
	"fmt"
	"testing"
)

// Clients that retry when they are told to are admitted or queued then, even if the clients of every second project retry each
// millisecond instead. Guards against retry times that are too short, and against so long ones that capacity is unused.
func TestAdviceIsHonest(t *testing.T) {
	for _, others := range []string{"heed it", "ignore it"} {
		again, found, over := returns(others == "ignore it")
		least := 3000 / 2.5 * 1000 // microseconds, at 50 every 20 ms
		t.Logf("others %s: %d retries on time, %d of them admitted or queued; finished after %d ms, at least %.0f needed", others,
			again, found, over/1000, least/1000)
		// The time beyond the minimum is unused capacity, which must stay under 5%.
		if float64(found) < 0.9*float64(again) || others == "heed it" && float64(over) > 1.05*least {
			t.Errorf("others %s: %d retries on time, %d of them admitted or queued; finished after %d ms, at least %.0f needed", others,
				again, found, over/1000, least/1000)
		}
	}
}

// returns simulates 3,000 requests of 300 projects that arrive at once at a queue whose rate is known. Rejected ones are retried
// when they were told to; if ignore is set, those of every second project after a millisecond instead. It returns the number of
// retries on time, how many of them were admitted or queued, and after which time no request was left to admit.
func returns(ignore bool) (again, found int, over int64) {
	type client struct {
		at    int64
		name  string
		back  bool
		heeds bool
	}
	s := newSite(50, 200)
	now := int64(0)
	for ; now < 500_000; now += 1000 { // so that the queue knows the rate at which requests leave
		s.until(now)
		s.ask(now, fmt.Sprint("before-", s.rng.IntN(50)), "client")
	}
	begin := now
	var out []client
	own := map[*project]bool{} // one project per queue, as projects that share one share its promised times and are told later ones
	var names []string
	for i := 0; len(names) < 300; i++ {
		name := fmt.Sprint("project-", i)
		if p, _ := s.q.find(name, ""); !own[p] {
			own[p], names = true, append(names, name)
		}
	}
	for i := range 3000 { // all at the same time
		out = append(out, client{now, names[i%300], false, !ignore || i%2 == 0})
	}
	var pushed []client
	heeds := map[string]bool{}
	for _, c := range out {
		heeds[c.name] = c.heeds
	}
	s.out = func(project string, later int64) {
		pushed = append(pushed, client{now + later, project, true, heeds[project]})
	}
	for ; len(out)+s.q.Waiting() > 0 && now < begin+20_000_000; now += 1000 {
		s.until(now)
		var later []client
		for _, c := range out {
			if c.at > now {
				later = append(later, c)
				continue
			}
			after, refused := s.ask(now, c.name, "client")
			if c.back && c.heeds {
				again++
			}
			switch {
			case refused && !c.heeds:
				later = append(later, client{now + 1000, c.name, true, false})
			case refused:
				later = append(later, client{now + max(after, 1000), c.name, true, true})
			case c.back && c.heeds:
				found++
			}
		}
		out, pushed = append(later, pushed...), nil
	}
	return again, found, now - begin
}
