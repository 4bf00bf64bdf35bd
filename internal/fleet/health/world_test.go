package health

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"otterturn/rules"
)

// world plays fronts before nodes in virtual time: what their Monitors do, a network between them, and of each
// scheduler what matters here: it sends nothing to a node that it was told is silent, or that failed it, until a probe
// of it is answered.
type world struct {
	fronts  []*simFront
	nodes   []*simNode
	byName  map[string]*simNode
	now     rules.Micros
	events  simQueue
	order   int
	random  *rand.Rand
	link    func(from, to int) (delays []rules.Micros) // of each copy that arrives; none where it is lost
	reaches func(front int, node *simNode) bool
	each    func(front *simFront, action Action) // sees all actions
	shell   rules.Micros                         // a probe ends as failed after this
	encoded bool                                 // messages pass Encode and Decode
}

type simFront struct {
	number  int
	config  Config
	monitor *Monitor
	life    int // counts restarts
	alarm   int // of the last SetAlarm
	paused  bool
	late    []simEvent // what came while paused
	mute    map[string]bool
	wanted  map[string]rules.Micros // ProbeWanted without an answer
	failed  map[string]int          // requests
	bytes   []sentBytes             // sent and received
}

type sentBytes struct {
	at    rules.Micros
	bytes int
}

type simNode struct {
	name   string
	index  int
	start  rules.Micros
	dead   bool
	refuse bool // a dead one refuses instead of being silent
	probes []rules.Micros
}

type simEvent struct {
	at    rules.Micros
	order int
	front int // -1 for the world's own
	life  int
	run   func()
	event Event
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// newWorld makes fronts by their zones, all in the same state, with a network of half a millisecond.
func newWorld(seed uint64, zones []int, nodes int, change func(*Config)) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 28)), shell: 500_000, now: 1_000_000_000, byName: map[string]*simNode{},
		link:    func(int, int) []rules.Micros { return []rules.Micros{500} },
		reaches: func(int, *simNode) bool { return true },
		each:    func(*simFront, Action) {},
	}
	for i := range nodes {
		n := &simNode{name: fmt.Sprintf("node-%d", i), index: i, start: rules.Micros(i+1) * 1_000_000}
		w.nodes, w.byName[n.name] = append(w.nodes, n), n
	}
	for i := range zones {
		c := Defaults(i, int64(w.now), zones)
		if change != nil {
			change(&c)
		}
		f := &simFront{number: i, config: c}
		w.fronts = append(w.fronts, f)
		w.boot(f)
	}
	return w
}

// boot starts a front, or starts it anew.
func (w *world) boot(f *simFront) {
	f.config.Run = int64(w.now)
	monitor, err := New(f.config)
	if err != nil {
		panic(err)
	}
	f.monitor, f.life, f.paused, f.late = monitor, f.life+1, false, nil
	f.mute, f.wanted = map[string]bool{}, map[string]rules.Micros{}
	if f.failed == nil {
		f.failed = map[string]int{}
	}
	w.step(f, w.list())
}

func (w *world) list() NodeList {
	l := NodeList{Full: true}
	for _, n := range w.nodes {
		l.Nodes = append(l.Nodes, rules.Listing{Node: n.name, Since: n.start})
	}
	return l
}

func (w *world) push(e simEvent) {
	w.order++
	e.order = w.order
	heap.Push(&w.events, e)
}

func (w *world) at(at rules.Micros, run func()) { w.push(simEvent{at: at, front: -1, run: run}) }

// to has a front learn of an event at a time, if it still lives its present life.
func (w *world) to(f *simFront, at rules.Micros, e Event) {
	w.push(simEvent{at: at, front: f.number, life: f.life, event: e})
}

// run plays until a time.
func (w *world) run(until rules.Micros) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(simEvent)
		w.now = e.at
		if e.front < 0 {
			e.run()
			continue
		}
		f := w.fronts[e.front]
		switch {
		case f.life != e.life:
		case f.paused:
			f.late = append(f.late, e)
		default:
			w.arrive(f, e)
		}
	}
	w.now = until
}

// arrive hands an event over, unless it is an alarm that another one took the place of.
func (w *world) arrive(f *simFront, e simEvent) {
	if e.run != nil {
		e.run()
		return
	}
	w.step(f, e.event)
}

func (w *world) resume(f *simFront) {
	late := f.late
	f.paused, f.late = false, nil
	for _, e := range late {
		w.arrive(f, e)
	}
}

func (w *world) step(f *simFront, events ...Event) {
	for _, a := range f.monitor.Step(w.now, events) {
		w.each(f, a)
		w.act(f, a)
	}
}

func (w *world) act(f *simFront, a Action) {
	switch a := a.(type) {
	case SetAlarm:
		f.alarm++
		this := f.alarm
		w.push(simEvent{at: max(a.At, w.now), front: f.number, life: f.life, run: func() {
			if this == f.alarm {
				w.step(f, Alarm{})
			}
		}})
	case StartProbe:
		w.probe(f, w.byName[a.Node])
	case ProbeAnswered:
		delete(f.wanted, a.Node)
		if a.OK {
			f.mute[a.Node] = false
		} else if f.mute[a.Node] {
			w.want(f, a.Node, 200_000)
		}
	case Report:
		if !f.mute[a.Node] {
			f.mute[a.Node] = true
			w.want(f, a.Node, 0)
		}
	case Send:
		w.deliver(f, a)
	}
}

// setAll lets all nodes fall silent, or return.
func (w *world) setAll(dead bool) {
	for _, n := range w.nodes {
		n.dead = dead
	}
}

// mostBytes is how many bytes a front sent and received within any second.
func (f *simFront) mostBytes() int {
	slices.SortStableFunc(f.bytes, func(a, b sentBytes) int { return cmp.Compare(a.at, b.at) })
	worst, sum, from := 0, 0, 0
	for _, b := range f.bytes {
		sum += b.bytes
		for f.bytes[from].at <= b.at-1_000_000 {
			sum -= f.bytes[from].bytes
			from++
		}
		worst = max(worst, sum)
	}
	return worst
}

// want is the scheduler's wish for a probe.
func (w *world) want(f *simFront, node string, in rules.Micros) {
	w.push(simEvent{at: w.now + in, front: f.number, life: f.life, run: func() {
		if _, waits := f.wanted[node]; !waits && f.mute[node] {
			f.wanted[node] = w.now
			w.step(f, ProbeWanted{node})
		}
	}})
}

func (w *world) deliver(f *simFront, a Send) {
	message, size := a.Message, len(a.Message.Encode())
	if w.encoded {
		var err error
		if message, err = Decode(a.Message.Encode()); err != nil {
			panic(err)
		}
	}
	f.bytes = append(f.bytes, sentBytes{w.now, size})
	to := w.fronts[a.To]
	for _, delay := range w.link(f.number, a.To) {
		at := w.now + delay
		to.bytes = append(to.bytes, sentBytes{at, size})
		w.to(to, at, Received{From: f.number, Message: message})
	}
}

// probe ends at once where the node answers or refuses, and late where it is silent.
func (w *world) probe(f *simFront, n *simNode) {
	n.probes = append(n.probes, w.now)
	ended := func(after rules.Micros, ok bool) {
		w.to(f, w.now+after, ProbeEnded{rules.Probed{Node: n.name, OK: ok, Queue: -1}})
	}
	switch {
	case !w.reaches(f.number, n):
		ended(w.shell, false)
	case !n.dead:
		ended(1_000+rules.Micros(w.random.IntN(1000)), true)
	case n.refuse:
		ended(1_000, false)
	default:
		ended(w.shell, false)
	}
}

// request sends one request, unless the front's scheduler holds the node for silent. A silent node is given up on after
// 400 ms.
func (w *world) request(f *simFront, n *simNode, id string) {
	if f.paused || f.mute[n.name] {
		return
	}
	w.step(f, AttemptStarted{Node: n.name, ID: id})
	end := func(after rules.Micros, result rules.Result) {
		life := f.life
		w.push(simEvent{at: w.now + after, front: f.number, life: life, run: func() {
			switch {
			case result == rules.OK:
				f.mute[n.name] = false
			default:
				f.failed[n.name]++
				if !f.mute[n.name] {
					f.mute[n.name] = true
					w.want(f, n.name, 0)
				}
			}
			w.step(f, AttemptEnded{Node: n.name, ID: id, Result: result})
		}})
	}
	switch {
	case !w.reaches(f.number, n) || n.dead && !n.refuse:
		end(400_000, rules.TimedOut)
	case n.dead:
		end(1_000, rules.Unreachable)
	default:
		end(2_000+rules.Micros(w.random.IntN(4000)), rules.OK)
	}
}

// load sends requests at random, so many a second from each front to each node, until a time.
func (w *world) load(perSecond float64, nodes []*simNode, until rules.Micros) {
	for _, f := range w.fronts {
		for _, n := range nodes {
			w.next(f, n, perSecond, until, 0)
		}
	}
}

func (w *world) next(f *simFront, n *simNode, perSecond float64, until rules.Micros, count int) {
	at := w.now + 1 + rules.Micros(w.random.ExpFloat64()/perSecond*1_000_000)
	if at > until {
		return
	}
	w.at(at, func() {
		w.request(f, n, fmt.Sprintf("%d-%d-%d", f.number, n.index, count))
		w.next(f, n, perSecond, until, count+1)
	})
}
