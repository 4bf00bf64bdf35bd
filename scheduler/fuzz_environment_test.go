package scheduler

import (
	"pgregory.net/rapid"
)

// environment simulates the surroundings of a scheduler: it sends random events that are valid, and checks the actions against
// the guarantees of the interface.
type environment struct {
	t            *rapid.T
	s            *Scheduler
	now          Micros
	endpoints    []Endpoint
	open         map[string]*clientRequest
	ids          []string // keys of open in order of arrival, so that draws are reproducible
	created      int
	drawnUnits   map[string]float64 // units drawn, by volume, of plans with a limit
	timerAt      Micros
	healthChecks []string
	startedAt    Micros
}

type clientRequest struct {
	Request
	deadline    Micros
	attempts    int
	outstanding bool
	node        string
	mayHaveRun  bool
	answered    bool // the final answer was given while an attempt is outstanding
}

func (p *environment) step(events ...Event) {
	for _, a := range p.s.Step(p.now, events) {
		switch a := a.(type) {
		case StartAttempt:
			r := p.open[a.ID]
			switch {
			case r == nil || r.answered:
				p.t.Fatalf("%s is sent after its final answer", a.ID)
			case r.outstanding:
				p.t.Fatalf("%s is sent while an attempt is outstanding", a.ID)
			case r.mayHaveRun && p.s.settings.Classes[r.Class].Idempotency == NotIdempotent:
				p.t.Fatalf("%s is sent again although it may have run", a.ID)
			case p.nodeState(a.Node) != Running:
				p.t.Fatalf("%s is sent to %s, which is not running", a.ID, a.Node)
			}
			if r.attempts == 0 && p.s.settings.Plans[r.Plan].Limit > 0 {
				p.drawnUnits[r.Volume] += r.Units
				plan := p.s.settings.Plans[r.Plan]
				if maxUnits := plan.Burst + plan.Limit*float64(p.now-p.startedAt)/1e6; p.drawnUnits[r.Volume] > maxUnits+1e-6 {
					p.t.Fatalf("%s drew %v units, its limit allows %v", r.Volume, p.drawnUnits[r.Volume], maxUnits)
				}
			}
			r.outstanding, r.node, r.attempts = true, a.Node, r.attempts+1
			if n := len(p.s.nodesByName[a.Node].pending); n > maxBudgetRequests {
				p.t.Fatalf("%d requests are outstanding at %s", n, a.Node)
			}
		case Reject:
			p.finalAnswer(a.ID)
		case Fail:
			p.finalAnswer(a.ID)
		case CancelAttempt:
			if r := p.open[a.ID]; r == nil || !r.outstanding || a.Attempt != r.attempts-1 {
				p.t.Fatalf("%s: attempt %d is cancelled, but not outstanding", a.ID, a.Attempt)
			}
		case CheckHealth:
			p.healthChecks = append(p.healthChecks, a.Node)
		case SetTimer:
			p.timerAt = a.At
		}
	}
	late := (timerTicks + 2) * p.s.settings.Tick
	for id, r := range p.open {
		if !r.outstanding && !r.answered && p.now > r.deadline+late {
			p.t.Fatalf("%s has no answer %v us after its deadline", id, p.now-r.deadline)
		}
	}
}

func (p *environment) nodeState(node string) NodeState {
	for _, l := range p.endpoints {
		if l.Node == node {
			return l.State
		}
	}
	return Removed
}

// ended handles a final answer of the scheduler.
func (p *environment) finalAnswer(id string) {
	r := p.open[id]
	if r == nil || r.answered {
		p.t.Fatalf("%s got a final answer while none was owed", id)
	}
	p.remove(id)
}

func (p *environment) remove(id string) {
	if r := p.open[id]; r.outstanding {
		r.answered = true
		return
	}
	delete(p.open, id)
	for i, other := range p.ids {
		if other == id {
			p.ids = append(p.ids[:i:i], p.ids[i+1:]...)
			break
		}
	}
}

// outstandingIDs returns the requests with an outstanding attempt, in order of arrival.
func (p *environment) outstandingIDs() (ids []string) {
	for _, id := range p.ids {
		if p.open[id].outstanding {
			ids = append(ids, id)
		}
	}
	return ids
}

func (p *environment) endAttempt(id string, result Result) {
	r := p.open[id]
	ended := AttemptEnded{
		ID: id, Attempt: r.attempts - 1, Result: result, Latency: 20_000, Final: result == OK && !r.answered,
		Alive: result == Reset && p.now%2 == 0,
	}
	if r.answered {
		ended.Final = true
	}
	r.mayHaveRun = r.mayHaveRun || result == Errored || result == TimedOut || result == Reset || result == Cancelled
	r.outstanding = false
	if ended.Final || r.answered {
		p.remove(id)
	}
	p.step(ended)
}

// advance lets time pass: the timer fires, and attempts end at their request's deadline.
func (p *environment) advance(span Micros) {
	for until := p.now + span; p.now < until; {
		next := until
		if p.timerAt > p.now {
			next = min(until, p.timerAt)
		}
		p.now = next
		for _, id := range p.outstandingIDs() {
			if r := p.open[id]; r.deadline <= p.now && !r.answered {
				p.endAttempt(id, TimedOut)
			}
		}
		p.timerAt = 0
		p.step(TimerFired{})
	}
}
