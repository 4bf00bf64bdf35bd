package scheduler

import (
	"pgregory.net/rapid"
)

// peer simulates the surroundings of a scheduler: it sends random events that are valid, and checks the actions against
// the guarantees of the interface.
type peer struct {
	t     *rapid.T
	s     *Scheduler
	now   Micros
	known []Endpoint
	open  map[string]*asked
	ids   []string // keys of open in order of arrival, so that draws are reproducible
	sent  int
	spent map[string]float64 // units drawn, by volume, of plans with a limit
	alarm Micros
	probe []string
	began Micros
}

type asked struct {
	Request
	deadline Micros
	attempts int
	out      bool
	node     string
	ran      bool
	final    bool // the final answer was given while an attempt is outstanding
}

func (p *peer) step(events ...Event) {
	for _, a := range p.s.Step(p.now, events) {
		switch a := a.(type) {
		case StartAttempt:
			r := p.open[a.ID]
			switch {
			case r == nil || r.final:
				p.t.Fatalf("%s is sent after its final answer", a.ID)
			case r.out:
				p.t.Fatalf("%s is sent while an attempt is outstanding", a.ID)
			case r.ran && p.s.settings.Classes[r.Class].Idempotency == NotIdempotent:
				p.t.Fatalf("%s is sent again although it may have run", a.ID)
			case p.state(a.Node) != Running:
				p.t.Fatalf("%s is sent to %s, which is not running", a.ID, a.Node)
			}
			if r.attempts == 0 && p.s.settings.Plans[r.Plan].Limit > 0 {
				p.spent[r.Volume] += r.Units
				plan := p.s.settings.Plans[r.Plan]
				if most := plan.Burst + plan.Limit*float64(p.now-p.began)/1e6; p.spent[r.Volume] > most+1e-6 {
					p.t.Fatalf("%s drew %v units, its limit allows %v", r.Volume, p.spent[r.Volume], most)
				}
			}
			r.out, r.node, r.attempts = true, a.Node, r.attempts+1
			if n := len(p.s.nodesByName[a.Node].pending); n > maxBudgetRequests {
				p.t.Fatalf("%d requests are outstanding at %s", n, a.Node)
			}
		case Reject:
			p.end(a.ID)
		case Fail:
			p.end(a.ID)
		case CancelAttempt:
			if r := p.open[a.ID]; r == nil || !r.out || a.Attempt != r.attempts-1 {
				p.t.Fatalf("%s: attempt %d is cancelled, but not outstanding", a.ID, a.Attempt)
			}
		case CheckHealth:
			p.probe = append(p.probe, a.Node)
		case SetTimer:
			p.alarm = a.At
		}
	}
	late := (timerTicks + 2) * p.s.settings.Tick
	for id, r := range p.open {
		if !r.out && !r.final && p.now > r.deadline+late {
			p.t.Fatalf("%s has no answer %v us after its deadline", id, p.now-r.deadline)
		}
	}
}

func (p *peer) state(node string) NodeState {
	for _, l := range p.known {
		if l.Node == node {
			return l.State
		}
	}
	return Removed
}

// end handles a final answer of the scheduler.
func (p *peer) end(id string) {
	r := p.open[id]
	if r == nil || r.final {
		p.t.Fatalf("%s got a final answer while none was owed", id)
	}
	p.forget(id)
}

func (p *peer) forget(id string) {
	if r := p.open[id]; r.out {
		r.final = true
		return
	}
	delete(p.open, id)
	for i, x := range p.ids {
		if x == id {
			p.ids = append(p.ids[:i:i], p.ids[i+1:]...)
			break
		}
	}
}

// outs returns the requests with an outstanding attempt, in order of arrival.
func (p *peer) outs() (ids []string) {
	for _, id := range p.ids {
		if p.open[id].out {
			ids = append(ids, id)
		}
	}
	return ids
}

func (p *peer) answer(id string, result Result) {
	r := p.open[id]
	o := AttemptEnded{
		ID: id, Attempt: r.attempts - 1, Result: result, Latency: 20_000, Final: result == OK && !r.final,
		Alive: result == Reset && p.now%2 == 0,
	}
	if r.final {
		o.Final = true
	}
	r.ran = r.ran || result == Errored || result == TimedOut || result == Reset || result == Cancelled
	r.out = false
	if o.Final || r.final {
		p.forget(id)
	}
	p.step(o)
}

// wait lets time pass: the timer fires, and attempts end at their request's deadline.
func (p *peer) wait(span Micros) {
	for until := p.now + span; p.now < until; {
		next := until
		if p.alarm > p.now {
			next = min(until, p.alarm)
		}
		p.now = next
		for _, id := range p.outs() {
			if r := p.open[id]; r.deadline <= p.now && !r.final {
				p.answer(id, TimedOut)
			}
		}
		p.alarm = 0
		p.step(TimerFired{})
	}
}
