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
	rng             *rand.Rand
	scheduler       *scheduler.Scheduler
	health          *zoneHealth // nil if it is switched off
	watch           watch
	stopped         bool // the process has ended
	now             scheduler.Micros
	nodeNumbers     map[string]int32
	nodeNames       []string
	openRequests    map[uint64]*openRequest
	deadlines       queue[*openRequest]
	pendingProbes   map[uint64]int32 // nodes of the probes without a result, by number of the probe
	probeTimeouts   queue[pendingProbe]
	idleConnections []uint8           // number by node
	timerAt         scheduler.Micros  // time of the scheduler's timer, 0 for none
	nextArrival     scheduler.Micros  // of the next request
	requestCount    uint64            // requests so far
	probeCount      uint64            // probes so far
	events          []scheduler.Event // of this window, for the scheduler's next step
	spareEvents     []scheduler.Event
	counts          counts
	cost            cost
	digest          digest
	avoidedSince    []scheduler.Micros // for each watched node: since when the front avoids it, 0 for not yet
}

// openRequest is a request without a final answer.
type openRequest struct {
	id          string
	number      uint64
	shard       int
	node        int32 // of the attempt in progress or the last one
	nextAttempt int32 // number of the next attempt
	inFlight    bool
	ended       bool
	units       float64
	sentAt      scheduler.Micros
	deadline    scheduler.Micros
}

type pendingProbe struct {
	number  uint64
	failsAt scheduler.Micros // when it counts as failed
}

func newFront(s sender) (*front, error) {
	f := &front{sender: s, stopped: true, rng: rand.New(rand.NewPCG(s.world.settings.Seed, uint64(s.id)))}
	f.nextArrival = startTime + f.interarrivalTime()
	return f, nil
}

// start starts or restarts the front's process, which knows only the endpoint list then.
func (f *front) start(now scheduler.Micros) error {
	w := f.world
	core, err := scheduler.New(w.settings.schedulerSettings(int(f.id)), f.rng.Int64())
	if err != nil {
		return err
	}
	f.scheduler, f.stopped, f.timerAt = core, false, 0
	f.openRequests, f.pendingProbes = map[uint64]*openRequest{}, map[uint64]int32{}
	f.deadlines, f.probeTimeouts, f.events = queue[*openRequest]{}, queue[pendingProbe]{}, nil
	f.nodeNumbers, f.nodeNames = make(map[string]int32, len(w.nodes)), make([]string, len(w.nodes))
	f.idleConnections = make([]uint8, len(w.nodes))
	list := scheduler.EndpointsChanged{Full: true}
	for i, l := range w.endpoints {
		f.nodeNames[i], f.nodeNumbers[l.Node] = l.Node, int32(i)
		if l.State != scheduler.Removed {
			list.Endpoints = append(list.Endpoints, l)
		}
	}
	if w.settings.Health {
		if f.health, err = newZoneHealth(f, now); err != nil {
			return err
		}
	}
	f.watch = newWatch(f, now, w.discovery.version)
	f.updateList(now, list)
	return nil
}

// stop ends the front's process: its open requests are lost.
func (f *front) stop() {
	for _, r := range f.openRequests {
		if !r.ended {
			f.counts.currentSecond[lost]++
		}
	}
	f.stopped = true
}

// interarrivalTime returns a random time until the next request. Arrivals don't depend on the outcome of earlier requests.
func (f *front) interarrivalTime() scheduler.Micros {
	if f.world.settings.RequestRate == 0 {
		return 1 << 60
	}
	return scheduler.Micros(f.rng.ExpFloat64()*float64(second)/f.world.settings.RequestRate) + 1
}

func (f *front) handle(end scheduler.Micros, in []message) {
	if f.stopped {
		return
	}
	f.now = end
	for i := range in {
		f.handleMessage(&in[i])
	}
	f.addRequests(end)
	f.expireOverdue(end)
	f.watch.advance(f, end)
	if f.health != nil {
		f.health.step(f, end)
	}
	if f.timerAt > 0 && f.timerAt < end {
		f.timerAt = 0
		f.events = append(f.events, scheduler.TimerFired{})
	}
	if len(f.events) > 0 {
		events := f.events
		f.events = f.spareEvents[:0]
		f.step(end, events)
		f.spareEvents = events
	}
}

func (f *front) handleMessage(m *message) {
	switch m.kind {
	case kindReply:
		f.handleReply(m)
	case kindProbeReply:
		f.handleProbeReply(m)
	case kindPeerMessage:
		f.handlePeerMessage(m)
	case kindHealth:
		f.handleHealthMessage(m)
	case kindListAnswer:
		f.watch.handleAnswer(f, m)
	}
}

func (f *front) handlePeerMessage(m *message) {
	f.counts.currentSecond[peerMessagesReceived]++
	f.counts.currentSecond[peerMessageBytes] += int64(len(m.data))
	e, err := protocol.ParsePeerMessage(int(m.from), m.data)
	if err != nil {
		f.counts.currentSecond[unreadableMessages]++
		return
	}
	f.events = append(f.events, e)
}

// addRequests adds the requests that arrive in the window.
func (f *front) addRequests(end scheduler.Micros) {
	for ; f.nextArrival < end; f.nextArrival += f.interarrivalTime() {
		f.requestCount++
		units := float64(1 + f.rng.IntN(maxUnits))
		shard := f.rng.IntN(f.world.settings.Nodes)
		r := &openRequest{
			id: strconv.FormatUint(f.requestCount, 36), number: f.requestCount, shard: shard, units: units,
			deadline: f.nextArrival + clientTimeout,
		}
		f.openRequests[r.number] = r
		f.deadlines.push(r)
		f.counts.currentSecond[requests]++
		f.events = append(f.events, scheduler.Request{
			ID: r.id, Volume: volumeNames[shard%volumesPerFront], Units: units, Shard: shard, Fronts: 1,
			TimeLeft: r.deadline - end,
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

// updateList passes a change of the endpoint list to the scheduler at once, before the other events of the window.
func (f *front) updateList(now scheduler.Micros, list scheduler.EndpointsChanged) {
	if f.health != nil {
		f.health.updateList(list)
	}
	f.step(now, []scheduler.Event{list})
}

func (f *front) perform(now scheduler.Micros, a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.StartAttempt:
		f.startAttempt(now, a)
	case scheduler.Reject:
		f.endRequest(a.ID, rejected)
	case scheduler.Fail:
		f.endRequest(a.ID, failed)
	case scheduler.CheckHealth:
		f.requestProbe(now, a.Node)
	case scheduler.RequestCapacity:
		f.sendPeerMessage(now, a.To, a)
	case scheduler.GrantCapacity:
		f.sendPeerMessage(now, a.To, a)
	case scheduler.SetTimer:
		f.timerAt = a.At
	}
}

func (f *front) sendPeerMessage(now scheduler.Micros, to int, a scheduler.Action) {
	data := protocol.FormatPeerMessage(a)
	if data == nil || to < 0 || to >= f.world.settings.Fronts {
		return
	}
	f.counts.currentSecond[peerMessagesSent]++
	f.counts.currentSecond[peerMessageBytes] += int64(len(data))
	f.digest.add(uint64(now), uint64(to), uint64(len(data)))
	f.send(now, message{to: int32(to), kind: kindPeerMessage, data: data})
}

var volumeNames = func() (names [volumesPerFront]string) {
	for i := range names {
		names[i] = "volume-" + strconv.Itoa(i)
	}
	return names
}()
