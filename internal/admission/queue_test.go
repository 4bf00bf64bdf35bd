package admission

import (
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"testing"
	"unsafe"
)

// site is a front behind a queue in virtual time: what is admitted stays for 20 ms.
type site struct {
	q       *Queue
	rng     *rand.Rand
	ends    []int64 // of those taken, in turn
	who     map[Ticket]string
	out     func(project string, later int64) // hears of one that was refused in another's place
	served  map[string]int
	refused map[string]int
	weights map[string]float64 // of the projects' plans, 1 where none is named
}

const stay = 20_000

func newSite(room, waiting int) *site {
	return &site{
		q: New(Config{Room: room, Waiting: waiting, MaxRetryAfter: 2_000_000}, maphash.MakeSeed(), 1), rng: rand.New(rand.NewPCG(1, 1)),
		who: map[Ticket]string{}, served: map[string]int{}, refused: map[string]int{},
	}
}

func (s *site) ask(now int64, project, client string) (after int64, refused bool) {
	weight, ok := s.weights[project]
	if !ok {
		weight = 1
	}
	a := s.q.Arrive(now, project, client, 1, weight)
	switch {
	case a.Admitted:
		s.begin(now, project)
	case a.Refused:
		s.refused[project]++
		return a.RetryAfter, true
	default:
		if a.Evicted != none {
			s.refused[s.who[a.Evicted]]++
			if s.out != nil {
				s.out(s.who[a.Evicted], a.EvictedRetryAfter)
			}
		}
		s.who[a.Ticket] = project
	}
	return 0, false
}

func (s *site) begin(now int64, project string) {
	s.served[project]++
	s.ends = append(s.ends, now+stay)
}

func (s *site) until(now int64) {
	for len(s.ends) > 0 && s.ends[0] <= now {
		at := s.ends[0]
		s.ends = s.ends[1:]
		for _, t := range s.q.Release(1, stay) {
			s.begin(at, s.who[t])
		}
	}
}

// One project with 5,000 clients floods, 200 with one each ask for half of what there is: they get what they would have
// had alone.
func TestFloodTakesNoOneElsesShare(t *testing.T) {
	served := func(flood bool) (others, all int) {
		s := newSite(50, 400) // 2,500 a second
		for now := int64(0); now < 10_000_000; now += 1000 {
			s.until(now)
			for range 1 + s.rng.IntN(2) { // 1,500 a second of the 200
				n := s.rng.IntN(200)
				s.ask(now, fmt.Sprint("project-", n), "client")
			}
			if flood {
				for range 10 {
					s.ask(now, "flood", fmt.Sprint(s.rng.IntN(5000)))
				}
			}
		}
		for name, n := range s.served {
			if all += n; name != "flood" {
				others += n
			}
		}
		return others, all
	}
	alone, _ := served(false)
	beside, all := served(true)
	t.Logf("others served %d alone, %d beside a flood, %d in all", alone, beside, all)
	if float64(beside) < 0.95*float64(alone) || all < 24_000 {
		t.Errorf("others served %d alone, %d beside a flood, %d of 25,000 in all", alone, beside, all)
	}
}

// Two projects that both ask for all of the room share it as their plans are weighed, 3 to 1, and both are served.
func TestPlansShareByWeight(t *testing.T) {
	s := newSite(50, 400)
	s.weights = map[string]float64{"heavy": 3, "light": 1}
	for now := int64(0); now < 5_000_000; now += 1000 {
		s.until(now)
		for i := range 8 { // 4,000 a second each, where 2,500 leave
			s.ask(now, "heavy", fmt.Sprint(i))
			s.ask(now, "light", fmt.Sprint(i))
		}
	}
	ratio := float64(s.served["heavy"]) / float64(s.served["light"])
	t.Logf("served heavy %d, light %d: %.2f", s.served["heavy"], s.served["light"], ratio)
	if ratio < 2.7 || ratio > 3.3 {
		t.Errorf("served heavy %d, light %d: %.2f to 1, want 3", s.served["heavy"], s.served["light"], ratio)
	}
}

// A request whose client left while it waited is told nothing, so its project is promised nothing either; one whose
// time ran out is told when to come back, and that time is its project's.
func TestWhoLeftTakesNoPromise(t *testing.T) {
	q := New(Config{Room: 1, Waiting: 4, MaxRetryAfter: 2_000_000}, maphash.MakeSeed(), 1)
	q.Arrive(0, "a", "", 1, 1)
	q.Arrive(0, "b", "", 1, 1)
	left := q.Arrive(0, "c", "", 1, 1).Ticket
	q.Release(1, stay) // the rate at which requests leave is known now, and "b" is taken
	q.Cancel(left)
	if q.claims != 0 {
		t.Errorf("%d promises after a client left", q.claims)
	}
	timed := q.Arrive(1000, "d", "", 1, 1).Ticket
	if after := q.Expire(1000, timed); after <= 0 || q.claims != 1 {
		t.Errorf("one whose time ran out: after %d, %d promises, want more than 0 and 1", after, q.claims)
	}
}

// Ids that are made to collide under one key don't under another, and so don't push others out.
func TestCollidingIdsAreOfNoUse(t *testing.T) {
	known := New(Config{Room: 1, Waiting: 1}, maphash.MakeSeed(), 1)
	victim, _ := known.find("victim", "")
	var made []string
	for i := 0; len(made) < 200; i++ {
		if p, _ := known.find(fmt.Sprint("made-", i), ""); p == victim {
			made = append(made, fmt.Sprint("made-", i))
		}
	}
	other := New(Config{Room: 1, Waiting: 1}, maphash.MakeSeed(), 1)
	victim, _ = other.find("victim", "")
	hits := 0
	for _, name := range made {
		if p, _ := other.find(name, ""); p == victim {
			hits++
		}
	}
	if hits > 5 {
		t.Errorf("%d of 200 ids collide under a key that they were not made for", hits)
	}
}

// Whatever comes, nothing is lost or told twice, and memory stays what it was.
func TestQueueKeepsCount(t *testing.T) {
	q := New(Config{Room: 5, Waiting: 20, MaxRetryAfter: 1000}, maphash.MakeSeed(), 1)
	rng := rand.New(rand.NewPCG(2, 2))
	waits, taken := map[Ticket]bool{}, 0
	for now := range int64(200_000) {
		switch rng.IntN(3) {
		case 0:
			a := q.Arrive(now, fmt.Sprint(rng.IntN(50)), fmt.Sprint(rng.IntN(9)), 1+rng.Float64(), 1)
			if a.Evicted != none {
				if !waits[a.Evicted] {
					t.Fatal("one that didn't wait was refused")
				}
				delete(waits, a.Evicted)
			}
			switch {
			case a.Admitted:
				taken++
			case a.Refused:
				if a.RetryAfter < 0 || a.RetryAfter > 1000 {
					t.Fatalf("advice %d", a.RetryAfter)
				}
			case waits[a.Ticket]:
				t.Fatal("two wait at one place")
			default:
				waits[a.Ticket] = true
			}
		case 1:
			if taken > 0 {
				taken--
				for _, w := range q.Release(1, 20_000) {
					if !waits[w] {
						t.Fatal("one that didn't wait was taken")
					}
					delete(waits, w)
					taken++
				}
			}
		default:
			for w := range waits {
				q.Expire(now, w)
				delete(waits, w)
				break
			}
		}
		if q.Waiting() != len(waits) || q.admitted != taken || taken > 5 || len(waits) > 20 || taken < 5 && len(waits) > 0 {
			t.Fatalf("%d wait and %d are taken, the queue counts %d and %d", len(waits), taken, q.Waiting(), q.admitted)
		}
	}
	bytes := unsafe.Sizeof(*q) + uintptr(len(q.pool))*unsafe.Sizeof(waiter{})
	t.Logf("%d bytes, whatever comes", bytes)
	if bytes > 1<<20 {
		t.Errorf("%d bytes", bytes)
	}
}
