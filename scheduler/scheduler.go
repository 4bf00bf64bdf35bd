package scheduler // The scheduler: its state, and a step from events to actions.

import (
	"cmp"
	"math/rand/v2"

	"otterturn/scheduler/expirymap"
	"otterturn/scheduler/fifo"
	"otterturn/scheduler/orderedset"
	"otterturn/scheduler/retrybudget"
	"otterturn/scheduler/slowstart"
	"otterturn/scheduler/worklist"
)

// Figures of the design, the same for every deployment.
const (
	fastInterval Micros = 200_000   // the fast loop adjusts the budget
	slowInterval Micros = 2_000_000 // the slow loop adjusts the target
	second       Micros = 1_000_000
	capRequests         = 32  // a budget never passes so many mean requests
	curvePoints         = 16  // slow intervals that the curve remembers
	tradeOff            = 0.1 // slope of the curve, relative to its top and its lowest latency
	lostAfter           = 2   // and lost once so many later sends were answered
	overdueTimes        = 4   // an attempt is overdue after so many times what the node usually takes
	fullAims            = 2   // a node that turned a request away is left alone for so many shortest aims
	seldom              = 16  // answers over the shortest aim are seldom below one in so many
	errorsSeen          = 6   // errors are smoothed over so many answers
	unsure              = 1.5 // times as slow may be a node without an answer for some slow intervals
	placeAmong          = 64  // nodes that a new object is placed among, drawn where there are more
	wakeTicks           = 5   // while something is held, look again after so many ticks
)

// Scheduler decides for one host. It must not be used by several goroutines at once.
type Scheduler struct {
	set        Settings
	rng        *rand.Rand
	now, began Micros
	slow       float64 // share of answers and time-outs that took over the shortest aim
	out        []Action
	aim        Micros  // the shortest aim of the classes
	worth      float64 // the highest worth of the classes
	nodes      []*node
	pool       *node // all nodes together, as new objects meet them
	byName     map[string]*node
	agenda     worklist.Agenda[Micros, *node] // nodes that something happened or is due at
	shards     map[int]*shard
	busy       orderedset.Set[*shard] // those that something is held for, in the order of their first request
	volumes    expirymap.Table[string, *volume]
	flows      expirymap.Table[flowKey, *flow]
	reqs       map[string]*request
	byKey      fifo.Queues[Micros, *request]      // requests of classes that keep the order of a key
	refused    expirymap.Table[Request, *request] // what clients may bring again, until their time is up
	wakeSet    bool
	sweptAt    Micros                        // idle volumes and flows count as forgotten as of then
	allowance  retrybudget.Allowance[Micros] // of further attempts
	cold       slowstart.Config[Micros]
	allocators []allocator // of cold nodes, where this host grants room
	succession
}

// New returns a scheduler for one host. The seed drives all its random choices.
func New(set Settings, seed int64) (*Scheduler, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	s := &Scheduler{rng: rand.New(rand.NewPCG(uint64(seed), 0)), byName: map[string]*node{},
		shards: map[int]*shard{}, reqs: map[string]*request{}, byKey: fifo.New[Micros, *request](),
		volumes: expirymap.New[string, *volume](), flows: expirymap.New[flowKey, *flow](),
		refused: expirymap.New[Request, *request](),
		agenda:  worklist.Of[Micros, *node](fastInterval, slowInterval)}
	s.cold = slowstart.Config[Micros]{Hosts: set.Hosts, From: cmp.Or(set.ColdFrom, 1), Ramp: set.Ramp,
		Multiple: set.FallMultiple, Span: set.FallSpan, Units: set.ColdUnits, Peers: set.Peers}
	s.tune(set)
	s.pool = &node{Habits: s.Fresh(), calm: true}
	s.pool.Budget = capRequests * set.MeanUnits
	s.agenda.Enter(&s.pool.entry, s.pool)
	return s, nil
}

// Step takes the events since the last step and returns what is to be done now.
func (s *Scheduler) Step(now Micros, events []Event) []Action {
	s.now, s.out, s.began = now, nil, cmp.Or(s.began, now)
	for _, e := range events {
		s.take(e)
	}
	for n := range s.agenda.Due(now) {
		s.fastLoop(n)
		s.slowLoop(n)
		s.watch(n)
	}
	s.dispatch()
	s.allocate()
	s.giveUp()
	s.shed()
	if now >= s.sweptAt+slowInterval {
		s.sweptAt = now
	}
	some := 8 + 4*len(events) // more than may have come in this step
	s.flows.Sweep(some, s.expired)
	s.volumes.Sweep(some, s.forgotten)
	s.refused.Sweep(some, func(r *request) bool { return r.deadline < s.now })
	s.agenda.Close(s.watchAt)
	if (s.busy.Len() > 0 || s.roomRequested()) && !s.wakeSet {
		s.wakeSet = true
		s.out = append(s.out, SetAlarm{At: now + wakeTicks*s.set.Tick})
	}
	return s.out
}

func (s *Scheduler) take(e Event) {
	switch e := e.(type) {
	case Nodes:
		s.learn(e)
	case Request:
		s.admit(e)
	case Outcome:
		s.outcome(e)
	case Lapsed:
		if r := s.reqs[e.ID]; r != nil {
			s.close(r)
		}
	case Probed:
		s.probed(e)
	case Room:
		s.set.MaxOpen = e.Open
	case Alarm:
		s.wakeSet = false
	case Recorded:
		for i := range s.volumes.Len() {
			s.volumes.At(i).bucket.Written(e.There, e.Sure)
		}
	default:
		s.hear(e)
	}
}
