package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Time bounds as documented for operators.
const (
	lateAnswer    = 500 * time.Millisecond // an answer this long after its deadline is not lost yet
	socketSlack   = 50 * time.Millisecond  // tolerance of time bounds measured on sockets
	countedBehind = 700 * time.Millisecond // a request sent later than this after SIGTERM must be answered before SIGKILL
	leaveSlack    = 100 * time.Millisecond // an attempt may still be received this long after its client has left
	toldSlack     = 150 * time.Millisecond // the announced time may exceed the client's time left by this
	drainGrace    = 500 * time.Millisecond
	badClientTime = 3 * time.Second        // a front closes an incomplete request within this
	crossingTime  = 300 * time.Millisecond // a client whose request crosses the close of its connection sees the close within this
)

// The rules that a run may break.
const (
	Lost      = "lost"
	Duplicate = "duplicate"
	Refusal   = "rejected after execution"
	Late      = "attempt received too late"
	ToldMore  = "announced too much time"
	Draining  = "drain"
	Crash     = "crash"
	BadStays  = "incomplete request kept open"
	SelfCount = "violations counted by the front"
)

// Violation is one violation of a rule.
type Violation struct {
	Rule, ID, Text string
	At             time.Duration
}

func (v Violation) String() string {
	return fmt.Sprintf("%8.3f s  %s: %s %s", v.At.Seconds(), v.Rule, v.ID, v.Text)
}

// judge checks one run and collects its violations.
type judge struct {
	*Record
	attempts map[string][]Attempt
	found    []Violation
}

// Judge returns the violations of a run, ordered by time.
func Judge(r *Record) []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := &judge{Record: r, attempts: map[string][]Attempt{}}
	for _, a := range r.Attempts {
		j.attempts[a.ID] = append(j.attempts[a.ID], a)
	}
	for _, list := range j.attempts {
		slices.SortFunc(list, func(a, b Attempt) int { return cmp.Compare(a.Began, b.Began) })
	}
	for _, x := range r.Requests {
		j.answer(x)
		j.effects(x)
		for _, a := range j.attempts[x.ID] {
			j.attempt(x, a)
		}
	}
	j.processes()
	for _, b := range r.Bad {
		j.badClient(b)
	}
	slices.SortFunc(j.found, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return j.found
}

func (j *judge) add(rule, id string, at time.Duration, format string, args ...any) {
	j.found = append(j.found, Violation{rule, id, fmt.Sprintf(format, args...), at})
}

// heldUp returns how long a process was stopped between two moments.
func (j *judge) heldUp(process int, from, to time.Duration) (sum time.Duration) {
	for _, s := range j.Process[process].HoldUps {
		sum += max(0, min(s.To, to)-max(s.From, from))
	}
	return sum
}

// answer checks that a request got an answer in time.
func (j *judge) answer(x Request) {
	p := j.Process[x.Process]
	due := x.Sent + x.Wait + lateAnswer + socketSlack
	switch x.Ending {
	case Answered:
		if held := j.heldUp(x.Process, x.Sent, x.Ended); x.Ended > due+held {
			j.add(Lost, x.ID, x.Ended, "answered with status %d %v after its deadline, sent to %s at %v",
				x.Status, x.Ended-x.Sent-x.Wait, p.Name, x.Sent)
		}
		return
	case Left:
		return
	}
	if p.Killed > 0 && x.Ended >= p.Killed-socketSlack {
		if p.Term > 0 && x.Sent > p.Term+countedBehind {
			j.add(Lost, x.ID, x.Ended, "no answer at SIGKILL, sent to %s %v after SIGTERM, %d attempts",
				p.Name, x.Sent-p.Term, len(j.attempts[x.ID]))
		}
		return
	}
	crossing := x.Ending == Closed && len(j.attempts[x.ID]) == 0 && x.Ended-x.Sent < crossingTime+j.heldUp(x.Process, x.Sent, x.Ended)
	if crossing || p.Crashed { // a crash is reported separately
		return
	}
	j.add(Lost, x.ID, x.Ended, "no answer %v after it was sent to %s (ending %d, %d attempts)",
		x.Ended-x.Sent, p.Name, x.Ending, len(j.attempts[x.ID]))
}

// effects checks how often a request ran.
func (j *judge) effects(x Request) {
	var ran []Attempt
	for _, a := range j.attempts[x.ID] {
		if a.Whole > 0 && !a.Unrun {
			ran = append(ran, a)
		}
	}
	for i, a := range ran {
		if i == 0 {
			continue
		}
		first := ran[0]
		switch {
		case x.Class == Once:
			j.add(Duplicate, x.ID, a.Whole, "executed %d times", len(ran))
		case x.Class == Keyed && a.Whole-first.Began > j.Window+socketSlack+j.heldUp(x.Process, first.Began, a.Whole):
			j.add(Duplicate, x.ID, a.Whole, "repeated %v after the first attempt, the deduplication window is %v",
				a.Whole-first.Began, j.Window)
		}
		if before := ran[i-1]; before.Ended == 0 || before.Ended > a.Whole {
			j.add(Duplicate, x.ID, a.Whole, "attempt at %s while an attempt at %s was open", a.Node, before.Node)
		}
	}
	refused := x.Ending == Answered && (x.Status == 429 || x.Status == 503)
	if refused && x.Class == Once && len(ran) > 0 {
		j.add(Refusal, x.ID, x.Ended, "answered with status %d, executed at %s", x.Status, ran[0].Node)
	}
}

// attempt checks one attempt of a request.
func (j *judge) attempt(x Request, a Attempt) {
	held := j.heldUp(x.Process, x.Sent, max(a.Began, a.Whole))
	if a.Whole > 0 {
		if late := a.Whole - x.Sent - x.Wait; late > leaveSlack+held { // a client leaves at its deadline
			j.add(Late, x.ID, a.Whole,
				"%v after its client's deadline of %v, by %s at %s, sent at %v, started at %v, announced %v, long %v, ending %d",
				late, x.Wait, j.Process[x.Process].Name, a.Node, x.Sent, a.Began, a.Told, x.Long, x.Ending)
		}
		if x.Ending == Left && a.Whole-x.Ended > leaveSlack+held {
			j.add(Lost, x.ID, a.Whole, "attempt at %s received %v after its client left", a.Node, a.Whole-x.Ended)
		}
	}
	// The head of a long request is sent before the decision about its deadline: a known fault, see KNOWN-RED.txt.
	if left := x.Sent + x.Wait - a.Began; a.Told >= 0 && !x.Long && a.Told > max(0, left)+toldSlack+held {
		j.add(ToldMore, x.ID, a.Began, "node %s: announced time %v, %v left", a.Node, a.Told, left)
	}
	for _, d := range j.Drains {
		if d.Process == x.Process && d.Node == a.Node && a.Began > d.Told+drainGrace+socketSlack && (d.Until == 0 || a.Began < d.Until) {
			j.add(Draining, x.ID, a.Began, "sent to %s %v after the front learned of its drain", a.Node, a.Began-d.Told)
		}
	}
}

func (j *judge) processes() {
	for _, p := range j.Process {
		if p.Crashed {
			j.add(Crash, p.Name, p.Exited, "ended with status %d", p.Status)
		}
		if p.LateTake {
			j.add(Crash, p.Name, p.Exited, "not ready in time")
		}
		if p.Counted > 0 {
			j.add(SelfCount, p.Name, p.Exited, "%d", p.Counted)
		}
	}
}

func (j *judge) badClient(b BadClient) {
	p := j.Process[b.Process]
	if p.Killed > 0 && (b.Ended == 0 || b.Ended >= p.Killed-socketSlack) {
		return
	}
	limit := badClientTime + socketSlack + j.heldUp(b.Process, b.Began, b.Began+badClientTime)
	if b.Ended == 0 || b.Ended-b.Began > limit {
		j.add(BadStays, p.Name, b.Began, "client stopped after %d bytes and its connection stayed open, first request %v, ended %v",
			b.Bytes, b.First, b.Ended)
	}
}
