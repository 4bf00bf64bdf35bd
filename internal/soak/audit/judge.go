package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// The operators' terms, as their pages give them.
const (
	lateAnswer    = 500 * time.Millisecond // behind its time an answer is not lost yet
	socketSlack   = 50 * time.Millisecond  // every time limit is so much longer on sockets
	countedBehind = 700 * time.Millisecond // a request that came so long behind SIGTERM counts at SIGKILL
	leaveSlack    = 100 * time.Millisecond // behind a client's end nothing begins
	toldSlack     = 150 * time.Millisecond // a node is told so much more than the client has left at most
	drainGrace    = 500 * time.Millisecond
	badClientTime = 3 * time.Second
	crossingTime  = 300 * time.Millisecond // a close that crosses a request is seen by its client within this
)

// The rules that a run may break.
const (
	Lost      = "lost"
	Duplicate = "duplicate"
	Refusal   = "refused with an effect"
	Late      = "begun too late"
	ToldMore  = "told too much time"
	Draining  = "drain"
	Crash     = "crash"
	BadStays  = "bad client"
	SelfCount = "violations counted by the front"
)

// Violation is one break of a rule.
type Violation struct {
	Rule, ID, Text string
	At             time.Duration
}

func (v Violation) String() string {
	return fmt.Sprintf("%8.3f s  %s: %s %s", v.At.Seconds(), v.Rule, v.ID, v.Text)
}

// judge is a run under judgement.
type judge struct {
	*Record
	attempts map[string][]Attempt
	found    []Violation
}

// Judge returns what a run broke, in the order of time.
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

// heldUp tells for how long a process was stopped between two moments.
func (j *judge) heldUp(process int, from, to time.Duration) (sum time.Duration) {
	for _, s := range j.Process[process].HoldUps {
		sum += max(0, min(s.To, to)-max(s.From, from))
	}
	return sum
}

// answer judges whether a request got its one final answer.
func (j *judge) answer(x Request) {
	p := j.Process[x.Process]
	due := x.Sent + x.Wait + lateAnswer + socketSlack
	switch x.Ending {
	case Answered:
		if held := j.heldUp(x.Process, x.Sent, x.Ended); x.Ended > due+held {
			j.add(Lost, x.ID, x.Ended, "answered with %d %v behind its time, sent to %s at %v", x.Status, x.Ended-x.Sent-x.Wait, p.Name, x.Sent)
		}
		return
	case Left:
		return
	}
	if p.Killed > 0 && x.Ended >= p.Killed-socketSlack {
		if p.Term > 0 && x.Sent > p.Term+countedBehind {
			j.add(Lost, x.ID, x.Ended, "no answer at SIGKILL, sent to %s %v behind SIGTERM, %d attempts", p.Name, x.Sent-p.Term, len(j.attempts[x.ID]))
		}
		return
	}
	crossing := x.Ending == Closed && len(j.attempts[x.ID]) == 0 && x.Ended-x.Sent < crossingTime+j.heldUp(x.Process, x.Sent, x.Ended)
	if crossing || p.Crashed { // a crash is a finding of its own
		return
	}
	j.add(Lost, x.ID, x.Ended, "no answer %v behind its sending to %s (ending %d, %d attempts)", x.Ended-x.Sent, p.Name, x.Ending, len(j.attempts[x.ID]))
}

// effects judges how often a request ran.
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
			j.add(Duplicate, x.ID, a.Whole, "run %d times", len(ran))
		case x.Class == Keyed && a.Whole-first.Began > j.Window+socketSlack+j.heldUp(x.Process, first.Began, a.Whole):
			j.add(Duplicate, x.ID, a.Whole, "repeated %v behind the first, the window is %v", a.Whole-first.Began, j.Window)
		}
		if before := ran[i-1]; before.Ended == 0 || before.Ended > a.Whole {
			j.add(Duplicate, x.ID, a.Whole, "an attempt at %s beside one at %s", a.Node, before.Node)
		}
	}
	refused := x.Ending == Answered && (x.Status == 429 || x.Status == 503)
	if refused && x.Class == Once && len(ran) > 0 {
		j.add(Refusal, x.ID, x.Ended, "answered %d, run at %s", x.Status, ran[0].Node)
	}
}

// attempt judges one attempt of a request.
func (j *judge) attempt(x Request, a Attempt) {
	held := j.heldUp(x.Process, x.Sent, max(a.Began, a.Whole))
	if a.Whole > 0 {
		if late := a.Whole - x.Sent - x.Wait; late > leaveSlack+held { // its client leaves at its time
			j.add(Late, x.ID, a.Whole, "%v behind its client's time of %v, by %s at %s, sent at %v, begun at %v, told %v, long %v, ending %d",
				late, x.Wait, j.Process[x.Process].Name, a.Node, x.Sent, a.Began, a.Told, x.Long, x.Ending)
		}
		if x.Ending == Left && a.Whole-x.Ended > leaveSlack+held {
			j.add(Lost, x.ID, a.Whole, "an attempt at %s begun %v behind its client's end", a.Node, a.Whole-x.Ended)
		}
	}
	// A long request's head goes ahead of the decision on its end: known, see KNOWN-RED.txt.
	if left := x.Sent + x.Wait - a.Began; a.Told >= 0 && !x.Long && a.Told > max(0, left)+toldSlack+held {
		j.add(ToldMore, x.ID, a.Began, "%s was told %v, %v are left", a.Node, a.Told, left)
	}
	for _, d := range j.Drains {
		if d.Process == x.Process && d.Node == a.Node && a.Began > d.Told+drainGrace+socketSlack && (d.Until == 0 || a.Began < d.Until) {
			j.add(Draining, x.ID, a.Began, "sent to %s %v behind the news of its drain", a.Node, a.Began-d.Told)
		}
	}
}

func (j *judge) processes() {
	for _, p := range j.Process {
		if p.Crashed {
			j.add(Crash, p.Name, p.Exited, "ended with status %d", p.Status)
		}
		if p.LateTake {
			j.add(Crash, p.Name, p.Exited, "was not ready in time")
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
		j.add(BadStays, p.Name, b.Began, "a client that stopped behind %d bytes was left open, first request %v, ended %v", b.Bytes, b.First, b.Ended)
	}
}
