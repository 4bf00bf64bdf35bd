package scheduler

import (
	"pgregory.net/rapid"
)

// environment simulates the surroundings of a scheduler: it sends random valid events and checks the actions against the
// guarantees of the interface.
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

func (env *environment) step(events ...Event) {
	for _, a := range env.s.Step(env.now, events) {
		switch a := a.(type) {
		case StartAttempt:
			r := env.open[a.ID]
			switch {
			case r == nil || r.answered:
				env.t.Fatalf("%s is sent after its final answer", a.ID)
			case r.outstanding:
				env.t.Fatalf("%s is sent while an attempt is outstanding", a.ID)
			case r.mayHaveRun && env.s.settings.Classes[r.Class].Idempotency == NotIdempotent:
				env.t.Fatalf("%s is sent again although it may have run", a.ID)
			case env.nodeState(a.Node) != Running:
				env.t.Fatalf("%s is sent to %s, which is not running", a.ID, a.Node)
			}
			if r.attempts == 0 && env.s.settings.Plans[r.Plan].Limit > 0 {
				env.drawnUnits[r.Volume] += r.Units
				plan := env.s.settings.Plans[r.Plan]
				if maxUnits := plan.Burst + plan.Limit*float64(env.now-env.startedAt)/1e6; env.drawnUnits[r.Volume] > maxUnits+1e-6 {
					env.t.Fatalf("%s drew %v units, its limit allows %v", r.Volume, env.drawnUnits[r.Volume], maxUnits)
				}
			}
			r.outstanding, r.node, r.attempts = true, a.Node, r.attempts+1
			if n := len(env.s.nodesByName[a.Node].pending); n > maxBudgetRequests {
				env.t.Fatalf("%d requests are outstanding at %s", n, a.Node)
			}
		case Reject:
			env.finalAnswer(a.ID)
		case Fail:
			env.finalAnswer(a.ID)
		case CancelAttempt:
			if r := env.open[a.ID]; r == nil || !r.outstanding || a.Attempt != r.attempts-1 {
				env.t.Fatalf("%s: attempt %d is cancelled, but not outstanding", a.ID, a.Attempt)
			}
		case CheckHealth:
			env.healthChecks = append(env.healthChecks, a.Node)
		case SetTimer:
			env.timerAt = a.At
		}
	}
	late := (timerTicks + 2) * env.s.settings.Tick
	for id, r := range env.open {
		if !r.outstanding && !r.answered && env.now > r.deadline+late {
			env.t.Fatalf("%s has no answer %v us after its deadline", id, env.now-r.deadline)
		}
	}
}

func (env *environment) nodeState(node string) NodeState {
	for _, l := range env.endpoints {
		if l.Node == node {
			return l.State
		}
	}
	return Removed
}

// finalAnswer handles a final answer of the scheduler.
func (env *environment) finalAnswer(id string) {
	r := env.open[id]
	if r == nil || r.answered {
		env.t.Fatalf("%s got a final answer while none was owed", id)
	}
	env.remove(id)
}

func (env *environment) remove(id string) {
	if r := env.open[id]; r.outstanding {
		r.answered = true
		return
	}
	delete(env.open, id)
	for i, other := range env.ids {
		if other == id {
			env.ids = append(env.ids[:i:i], env.ids[i+1:]...)
			break
		}
	}
}

// outstandingIDs returns the requests with an outstanding attempt, in order of arrival.
func (env *environment) outstandingIDs() (ids []string) {
	for _, id := range env.ids {
		if env.open[id].outstanding {
			ids = append(ids, id)
		}
	}
	return ids
}

func (env *environment) endAttempt(id string, result Result) {
	r := env.open[id]
	ended := AttemptEnded{
		ID: id, Attempt: r.attempts - 1, Result: result, Latency: 20_000, Final: result == OK && !r.answered,
		Alive: result == Reset && env.now%2 == 0,
	}
	if r.answered {
		ended.Final = true
	}
	r.mayHaveRun = r.mayHaveRun || result == Errored || result == TimedOut || result == Reset || result == Cancelled
	r.outstanding = false
	if ended.Final || r.answered {
		env.remove(id)
	}
	env.step(ended)
}

// advance lets time pass: the timer fires, and attempts end at their request's deadline.
func (env *environment) advance(span Micros) {
	for until := env.now + span; env.now < until; {
		next := until
		if env.timerAt > env.now {
			next = min(until, env.timerAt)
		}
		env.now = next
		for _, id := range env.outstandingIDs() {
			if r := env.open[id]; r.deadline <= env.now && !r.answered {
				env.endAttempt(id, TimedOut)
			}
		}
		env.timerAt = 0
		env.step(TimerFired{})
	}
}
