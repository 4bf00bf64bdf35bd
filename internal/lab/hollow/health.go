package hollow

import (
	"time"

	"otterturn/internal/fleet/health"
	"otterturn/scheduler"
)

// zoneHealth runs a front's health monitor (internal/fleet/health).
type zoneHealth struct {
	monitor *health.Monitor
	events  []health.Event   // since the last step
	alarm   scheduler.Micros // time of the monitor's timer, 0 for none
}

func newZoneHealth(f *front, now scheduler.Micros) (*zoneHealth, error) {
	w := f.world
	zones := make([]int, w.set.Fronts)
	for i := range zones {
		zones[i] = int(w.links.zone[i])
	}
	config := health.Defaults(int(f.id), int64(now), zones)
	if w.set.SuspectAfter > 0 {
		config.SuspectAfter = w.set.SuspectAfter
	}
	monitor, err := health.New(config)
	if err != nil {
		return nil, err
	}
	return &zoneHealth{monitor: monitor}, nil
}

func (z *zoneHealth) hear(e health.Event) { z.events = append(z.events, e) }

func (z *zoneHealth) learn(list scheduler.EndpointsChanged) {
	z.hear(health.EndpointsChanged{Full: list.Full, Nodes: list.Endpoints})
}

func (z *zoneHealth) attemptStarted(node, id string, attempt int) {
	z.hear(health.AttemptStarted{Node: node, ID: id, Attempt: attempt})
}

func (z *zoneHealth) attemptEnded(node string, o scheduler.AttemptEnded) {
	z.hear(health.AttemptEnded{Node: node, ID: o.ID, Attempt: o.Attempt, Result: o.Result, Alive: o.Alive})
}

func (z *zoneHealth) probeWanted(node string) { z.hear(health.ProbeRequested{Node: node}) }

func (z *zoneHealth) probeEnded(p scheduler.HealthChecked) {
	z.hear(health.ProbeEnded{HealthChecked: p})
}

// pass passes the events of a window to the monitor and performs its actions.
func (z *zoneHealth) pass(f *front, now scheduler.Micros) {
	if z.alarm > 0 && z.alarm < now {
		z.alarm = 0
		z.hear(health.TimerFired{})
	}
	if len(z.events) == 0 {
		return
	}
	began := time.Now()
	actions := z.monitor.Step(now, z.events)
	f.cost.health += time.Since(began)
	clear(z.events)
	z.events = z.events[:0]
	for _, a := range actions {
		z.perform(f, now, a)
	}
}

func (z *zoneHealth) perform(f *front, now scheduler.Micros, a health.Action) {
	switch a := a.(type) {
	case health.StartProbe:
		if node, known := f.numbers[a.Node]; known {
			f.probe(now, node)
		} else {
			z.probeEnded(scheduler.HealthChecked{Node: a.Node, Queue: -1})
		}
	case health.AnswerProbe:
		f.events = append(f.events, a.HealthChecked)
	case health.ReportSilent:
		f.events = append(f.events, a.NodeSilent)
	case health.SendMessage:
		z.send(f, now, a)
	case health.SetTimer:
		z.alarm = a.At
	}
}

func (z *zoneHealth) send(f *front, now scheduler.Micros, a health.SendMessage) {
	data := a.Message.Encode()
	f.counts.now[healthSent]++
	f.counts.now[healthBytes] += int64(len(data))
	f.digest.add(uint64(now), uint64(a.To), uint64(len(data)), uint64(a.Message.Sequence))
	f.send(now, message{to: int32(a.To), kind: kindHealth, data: data})
}

// healthHeard handles a health message of another front.
func (f *front) healthHeard(m *message) {
	if f.health == nil {
		return
	}
	f.counts.now[healthReceived]++
	f.counts.now[healthBytes] += int64(len(m.data))
	in, err := health.Decode(m.data)
	if err != nil {
		f.counts.now[unreadable]++
		f.health.monitor.Unreadable()
		return
	}
	f.health.hear(health.MessageReceived{From: int(m.from), Message: in})
}
