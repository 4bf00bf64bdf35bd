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
	timerAt scheduler.Micros // time of the monitor's timer, 0 for none
}

func newZoneHealth(f *front, now scheduler.Micros) (*zoneHealth, error) {
	w := f.world
	zones := make([]int, w.settings.Fronts)
	for i := range zones {
		zones[i] = int(w.links.zoneOf[i])
	}
	config := health.Defaults(int(f.id), int64(now), zones)
	if w.settings.SuspectAfter > 0 {
		config.SuspectAfter = w.settings.SuspectAfter
	}
	monitor, err := health.New(config)
	if err != nil {
		return nil, err
	}
	return &zoneHealth{monitor: monitor}, nil
}

func (z *zoneHealth) addEvent(e health.Event) { z.events = append(z.events, e) }

func (z *zoneHealth) updateList(list scheduler.EndpointsChanged) {
	z.addEvent(health.EndpointsChanged{Full: list.Full, Nodes: list.Endpoints})
}

func (z *zoneHealth) attemptStarted(node, id string, attempt int) {
	z.addEvent(health.AttemptStarted{Node: node, ID: id, Attempt: attempt})
}

func (z *zoneHealth) attemptEnded(node string, ended scheduler.AttemptEnded) {
	z.addEvent(health.AttemptEnded{Node: node, ID: ended.ID, Attempt: ended.Attempt, Result: ended.Result, Alive: ended.Alive})
}

func (z *zoneHealth) requestProbe(node string) { z.addEvent(health.ProbeRequested{Node: node}) }

func (z *zoneHealth) probeEnded(p scheduler.HealthChecked) {
	z.addEvent(health.ProbeEnded{HealthChecked: p})
}

// step passes the events of a window to the monitor and performs its actions.
func (z *zoneHealth) step(f *front, now scheduler.Micros) {
	if z.timerAt > 0 && z.timerAt < now {
		z.timerAt = 0
		z.addEvent(health.TimerFired{})
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
		if node, known := f.nodeNumbers[a.Node]; known {
			f.sendProbe(now, node)
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
		z.timerAt = a.At
	}
}

func (z *zoneHealth) send(f *front, now scheduler.Micros, a health.SendMessage) {
	data := a.Message.Encode()
	f.counts.currentSecond[healthSent]++
	f.counts.currentSecond[healthBytes] += int64(len(data))
	f.digest.add(uint64(now), uint64(a.To), uint64(len(data)), uint64(a.Message.Sequence))
	f.send(now, message{to: int32(a.To), kind: kindHealth, data: data})
}

// handleHealthMessage handles a health message of another front.
func (f *front) handleHealthMessage(m *message) {
	if f.health == nil {
		return
	}
	f.counts.currentSecond[healthReceived]++
	f.counts.currentSecond[healthBytes] += int64(len(m.data))
	in, err := health.Decode(m.data)
	if err != nil {
		f.counts.currentSecond[unreadableMessages]++
		f.health.monitor.CountUnreadable()
		return
	}
	f.health.addEvent(health.MessageReceived{From: int(m.from), Message: in})
}
