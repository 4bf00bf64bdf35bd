package admission

import (
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"testing"
	"unsafe"
)

// simulation simulates a front with a queue. An admitted request takes 20 ms. projectOf has the projects of the waiting requests;
// served and rejected count requests by project.
type simulation struct {
	q         *Queue
	rng       *rand.Rand
	ends      []int64 // end times of the admitted requests, in order
	projectOf map[Ticket]string
	out       func(project string, later int64) // called for an evicted request, if set
	served    map[string]int
	rejected  map[string]int
	weights   map[string]float64 // by project, 1 if absent
}

const serviceTime = 20_000

func newSimulation(maxAdmitted, maxWaiting int) *simulation {
	return &simulation{
		q: New(Config{MaxAdmitted: maxAdmitted, MaxWaiting: maxWaiting, MaxRetryAfter: 2_000_000}, maphash.MakeSeed(), 1), rng: rand.New(rand.NewPCG(1, 1)),
		projectOf: map[Ticket]string{}, served: map[string]int{}, rejected: map[string]int{},
	}
}

func (s *simulation) arrive(now int64, project, client string) (retryAfter int64, rejected bool) {
	weight, ok := s.weights[project]
	if !ok {
		weight = 1
	}
	a := s.q.Arrive(now, project, client, 1, weight)
	switch {
	case a.Admitted:
		s.begin(now, project)
	case a.Rejected:
		s.rejected[project]++
		return a.RetryAfter, true
	default:
		if a.Evicted != noTicket {
			s.rejected[s.projectOf[a.Evicted]]++
			if s.out != nil {
				s.out(s.projectOf[a.Evicted], a.EvictedRetryAfter)
			}
		}
		s.projectOf[a.Ticket] = project
	}
	return 0, false
}

func (s *simulation) begin(now int64, project string) {
	s.served[project]++
	s.ends = append(s.ends, now+serviceTime)
}

func (s *simulation) advance(now int64) {
	for len(s.ends) > 0 && s.ends[0] <= now {
		at := s.ends[0]
		s.ends = s.ends[1:]
		for _, t := range s.q.Release(1, serviceTime) {
			s.begin(at, s.projectOf[t])
		}
	}
}

// Guards against a project with 5,000 clients that takes capacity from others by a flood: 200 projects with a client each,
// which together need about half of the capacity, are served as without it.
func TestFloodLeavesTheShareOfOthers(t *testing.T) {
	served := func(flood bool) (others, all int) {
		s := newSimulation(50, 400) // 2,500 requests per second
		for now := int64(0); now < 10_000_000; now += 1000 {
			s.advance(now)
			for range 1 + s.rng.IntN(2) { // 1,500 requests per second of the 200 projects
				n := s.rng.IntN(200)
				s.arrive(now, fmt.Sprint("project-", n), "client")
			}
			if flood {
				for range 10 {
					s.arrive(now, "flood", fmt.Sprint(s.rng.IntN(5000)))
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
	withoutFlood, _ := served(false)
	withFlood, all := served(true)
	t.Logf("requests of the others served: %d without a flood, %d with it; %d in total with it", withoutFlood, withFlood, all)
	if float64(withFlood) < 0.95*float64(withoutFlood) || all < 24_000 {
		t.Errorf("requests of the others served: %d without a flood, %d with it, want 95%%; %d in total with it, want 24,000 of 25,000",
			withoutFlood, withFlood, all)
	}
}

// Two projects that each need more than the whole capacity share it by the weights of their plans, 3 to 1.
func TestPlansShareByWeight(t *testing.T) {
	s := newSimulation(50, 400)
	s.weights = map[string]float64{"heavy": 3, "light": 1}
	for now := int64(0); now < 5_000_000; now += 1000 {
		s.advance(now)
		for i := range 8 { // 8,000 requests per second each, of which 2,500 in total can be served
			s.arrive(now, "heavy", fmt.Sprint(i))
			s.arrive(now, "light", fmt.Sprint(i))
		}
	}
	ratio := float64(s.served["heavy"]) / float64(s.served["light"])
	t.Logf("served %d of weight 3 and %d of weight 1, ratio %.2f", s.served["heavy"], s.served["light"], ratio)
	if ratio < 2.7 || ratio > 3.3 {
		t.Errorf("served %d of weight 3 and %d of weight 1, ratio %.2f, want 2.7 to 3.3", s.served["heavy"], s.served["light"], ratio)
	}
}

// Guards against a promised retry time for a request whose client disconnected while it waited: no client would use it. A request
// whose time ran out does get one.
func TestCancelPromisesNoRetryTime(t *testing.T) {
	q := New(Config{MaxAdmitted: 1, MaxWaiting: 4, MaxRetryAfter: 2_000_000}, maphash.MakeSeed(), 1)
	q.Arrive(0, "a", "", 1, 1)
	q.Arrive(0, "b", "", 1, 1)
	cancelled := q.Arrive(0, "c", "", 1, 1).Ticket
	q.Release(1, serviceTime) // the rate at which requests leave is known now, and "b" is admitted
	q.Cancel(cancelled)
	if q.claims != 0 {
		t.Errorf("%d queues with a promised time after a client disconnected, want 0", q.claims)
	}
	expired := q.Arrive(1000, "d", "", 1, 1).Ticket
	if retryAfter := q.Expire(1000, expired); retryAfter <= 0 || q.claims != 1 {
		t.Errorf("expired request: retry after %d, %d queues with a promised time, want more than 0 and 1", retryAfter, q.claims)
	}
}

// Guards against ids that are chosen to share a queue with another project's: those that collide under one key must not collide
// under another one.
func TestCollidingIDsDependOnTheKey(t *testing.T) {
	knownKey := New(Config{MaxAdmitted: 1, MaxWaiting: 1}, maphash.MakeSeed(), 1)
	victim, _ := knownKey.find("victim", "")
	var colliding []string
	for i := 0; len(colliding) < 200; i++ {
		if p, _ := knownKey.find(fmt.Sprint("made-", i), ""); p == victim {
			colliding = append(colliding, fmt.Sprint("made-", i))
		}
	}
	otherKey := New(Config{MaxAdmitted: 1, MaxWaiting: 1}, maphash.MakeSeed(), 1)
	victim, _ = otherKey.find("victim", "")
	collisions := 0
	for _, name := range colliding {
		if p, _ := otherKey.find(name, ""); p == victim {
			collisions++
		}
	}
	if collisions > 5 {
		t.Errorf("%d of 200 ids collide under a key other than the one they were chosen for, want at most 5", collisions)
	}
}

// Random calls: each request is admitted, expires or is evicted exactly once, and the memory is constant.
func TestEachRequestIsCountedOnce(t *testing.T) {
	q := New(Config{MaxAdmitted: 5, MaxWaiting: 20, MaxRetryAfter: 1000}, maphash.MakeSeed(), 1)
	rng := rand.New(rand.NewPCG(2, 2))
	waiting, admittedCount := map[Ticket]bool{}, 0
	for now := range int64(200_000) {
		switch rng.IntN(3) {
		case 0:
			a := q.Arrive(now, fmt.Sprint(rng.IntN(50)), fmt.Sprint(rng.IntN(9)), 1+rng.Float64(), 1)
			if a.Evicted != noTicket {
				if !waiting[a.Evicted] {
					t.Fatal("a request that was not waiting was evicted")
				}
				delete(waiting, a.Evicted)
			}
			switch {
			case a.Admitted:
				admittedCount++
			case a.Rejected:
				if a.RetryAfter < 0 || a.RetryAfter > 1000 {
					t.Fatalf("retry after %d, want 0 to 1000", a.RetryAfter)
				}
			case waiting[a.Ticket]:
				t.Fatal("two waiting requests have the same ticket")
			default:
				waiting[a.Ticket] = true
			}
		case 1:
			if admittedCount > 0 {
				admittedCount--
				for _, w := range q.Release(1, 20_000) {
					if !waiting[w] {
						t.Fatal("a request that was not waiting was admitted")
					}
					delete(waiting, w)
					admittedCount++
				}
			}
		default:
			for w := range waiting {
				q.Expire(now, w)
				delete(waiting, w)
				break
			}
		}
		if q.Waiting() != len(waiting) || q.admitted != admittedCount || admittedCount > 5 || len(waiting) > 20 ||
			admittedCount < 5 && len(waiting) > 0 {
			t.Fatalf("%d waiting (at most 20) and %d admitted (at most 5, fewer only if none waits), the queue counts %d and %d",
				len(waiting), admittedCount, q.Waiting(), q.admitted)
		}
	}
	bytes := unsafe.Sizeof(*q) + uintptr(len(q.pool))*unsafe.Sizeof(waiter{})
	t.Logf("the queue takes %d bytes", bytes)
	if bytes > 1<<20 {
		t.Errorf("the queue takes %d bytes, want at most 1 MiB", bytes)
	}
}
