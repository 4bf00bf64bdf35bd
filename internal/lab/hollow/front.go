package hollow

import (
	"math/rand/v2"
	"strconv"
	"time"

	"otterturn/internal/net/protocol"
	"otterturn/scheduler"
)

// front is a hollow front: it runs the real scheduler and models the rest of the program, without sockets.
type front struct {
	sender
	rng       *rand.Rand
	scheduler *scheduler.Scheduler
	health    *zoneHealth // nil if it is switched off
	watch     watch
	down      bool // the process has ended
	now       scheduler.Micros
	numbers   map[string]int32
	names     []string
	calls     map[uint64]*call
	deadlines queue[*call]
	probes    map[uint64]int32 // nodes of the probes without a result, by number of the probe
	late      queue[probeOut]
	idle      []uint8           // idle connections by node
	alarm     scheduler.Micros  // time of the scheduler's timer, 0 for none
	arrival   scheduler.Micros  // of the next request
	asked     uint64            // requests so far
	probed    uint64            // probes so far
	events    []scheduler.Event // of this window, for the scheduler's next step
	spare     []scheduler.Event
	counts    counts
	cost      cost
	digest    digest
	avoided   []scheduler.Micros // for each watched node: since when the front avoids it, 0 for not yet
}

// call is an open request.
type call struct {
	id       string
	number   uint64
	shard    int
	node     int32 // of the attempt in progress or the last one
	attempt  int32 // number of the next attempt
	out      bool
	over     bool
	units    float64
	sent     scheduler.Micros
	deadline scheduler.Micros
}

type probeOut struct {
	number uint64
	at     scheduler.Micros // when it counts as failed
}

func newFront(s sender) (*front, error) {
	f := &front{sender: s, down: true, rng: rand.New(rand.NewPCG(s.world.set.Seed, uint64(s.id)))}
	f.arrival = begin + f.gap()
	return f, nil
}

// start starts or restarts the front's process, which knows only the endpoint list then.
func (f *front) start(now scheduler.Micros) error {
	w := f.world
	decider, err := scheduler.New(w.set.rules(int(f.id)), f.rng.Int64())
	if err != nil {
		return err
	}
	f.scheduler, f.down, f.alarm = decider, false, 0
	f.calls, f.probes = map[uint64]*call{}, map[uint64]int32{}
	f.deadlines, f.late, f.events = queue[*call]{}, queue[probeOut]{}, nil
	f.numbers, f.names = make(map[string]int32, len(w.nodes)), make([]string, len(w.nodes))
	f.idle = make([]uint8, len(w.nodes))
	list := scheduler.EndpointsChanged{Full: true}
	for i, l := range w.listed {
		f.names[i], f.numbers[l.Node] = l.Node, int32(i)
		if l.State != scheduler.Removed {
			list.Endpoints = append(list.Endpoints, l)
		}
	}
	if w.set.Health {
		if f.health, err = newZoneHealth(f, now); err != nil {
			return err
		}
	}
	f.watch = newWatch(f, now, w.discovery.version)
	f.learn(now, list)
	return nil
}

// stop ends the front's process: its open requests are lost.
func (f *front) stop() {
	for _, c := range f.calls {
		if !c.over {
			f.counts.now[lost]++
		}
	}
	f.down = true
}

// gap returns a random time until the next request. Arrivals don't depend on the outcome of earlier requests.
func (f *front) gap() scheduler.Micros {
	if f.world.set.Rate == 0 {
		return 1 << 60
	}
	return scheduler.Micros(f.rng.ExpFloat64()*float64(second)/f.world.set.Rate) + 1
}

func (f *front) handle(end scheduler.Micros, in []message) {
	if f.down {
		return
	}
	f.now = end
	for i := range in {
		f.take(&in[i])
	}
	f.arrive(end)
	f.expire(end)
	f.watch.pass(f, end)
	if f.health != nil {
		f.health.pass(f, end)
	}
	if f.alarm > 0 && f.alarm < end {
		f.alarm = 0
		f.events = append(f.events, scheduler.TimerFired{})
	}
	if len(f.events) > 0 {
		events := f.events
		f.events = f.spare[:0]
		f.step(end, events)
		f.spare = events
	}
}

func (f *front) take(m *message) {
	switch m.kind {
	case kindReply:
		f.replied(m)
	case kindProbeReply:
		f.probeReplied(m)
	case kindNote:
		f.heard(m)
	case kindHealth:
		f.healthHeard(m)
	case kindListAnswer:
		f.watch.answered(f, m)
	}
}

func (f *front) heard(m *message) {
	f.counts.now[notesReceived]++
	f.counts.now[noteBytes] += int64(len(m.data))
	e, err := protocol.ParseNote(int(m.from), m.data)
	if err != nil {
		f.counts.now[unreadable]++
		return
	}
	f.events = append(f.events, e)
}

// arrive adds the requests that arrive in the window.
func (f *front) arrive(end scheduler.Micros) {
	for ; f.arrival < end; f.arrival += f.gap() {
		f.asked++
		units := float64(1 + f.rng.IntN(mostUnits))
		shard := f.rng.IntN(f.world.set.Nodes)
		c := &call{id: strconv.FormatUint(f.asked, 36), number: f.asked, shard: shard, units: units, deadline: f.arrival + patience}
		f.calls[c.number] = c
		f.deadlines.push(c)
		f.counts.now[requests]++
		f.events = append(f.events, scheduler.Request{
			ID: c.id, Volume: volumeNames[shard%volumes], Units: units, Shard: shard, Fronts: 1,
			TimeLeft: c.deadline - end,
		})
	}
}

// step passes all events of a window to the scheduler in one call, as the program's core does, and performs its actions.
func (f *front) step(now scheduler.Micros, events []scheduler.Event) {
	began := time.Now()
	actions := f.scheduler.Step(now, events)
	f.cost.scheduler += time.Since(began)
	f.cost.steps++
	for _, a := range actions {
		f.perform(now, a)
	}
}

// learn passes a change of the endpoint list to the scheduler at once, before the other events of the window.
func (f *front) learn(now scheduler.Micros, list scheduler.EndpointsChanged) {
	if f.health != nil {
		f.health.learn(list)
	}
	f.step(now, []scheduler.Event{list})
}

func (f *front) perform(now scheduler.Micros, a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.StartAttempt:
		f.attempt(now, a)
	case scheduler.Reject:
		f.end(a.ID, refused)
	case scheduler.Fail:
		f.end(a.ID, failed)
	case scheduler.CheckHealth:
		f.wantProbe(now, a.Node)
	case scheduler.RequestCapacity:
		f.note(now, a.To, a)
	case scheduler.GrantCapacity:
		f.note(now, a.To, a)
	case scheduler.SetTimer:
		f.alarm = a.At
	}
}

func (f *front) note(now scheduler.Micros, to int, a scheduler.Action) {
	text := protocol.FormatNote(a)
	if text == nil || to < 0 || to >= f.world.set.Fronts {
		return
	}
	f.counts.now[notesSent]++
	f.counts.now[noteBytes] += int64(len(text))
	f.digest.add(uint64(now), uint64(to), uint64(len(text)))
	f.send(now, message{to: int32(to), kind: kindNote, data: text})
}

var volumeNames = func() (names [volumes]string) {
	for i := range names {
		names[i] = "volume-" + strconv.Itoa(i)
	}
	return names
}()
