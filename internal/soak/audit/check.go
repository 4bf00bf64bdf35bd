package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Time bounds as documented for operators.
const (
	maxAnswerDelay           = 500 * time.Millisecond // an answer this long after its deadline is not lost yet
	socketSlack              = 50 * time.Millisecond  // tolerance of time bounds measured on sockets
	answerRequiredAfter      = 700 * time.Millisecond // a request sent later than this after SIGTERM must be answered before SIGKILL
	leaveSlack               = 100 * time.Millisecond // an attempt may still be received this long after its client has left
	timeLeftSlack            = 150 * time.Millisecond // the announced time may exceed the client's time left by this
	drainGrace               = 500 * time.Millisecond
	incompleteRequestTimeout = 3 * time.Second        // a front closes an incomplete request within this
	maxCrossingTime          = 300 * time.Millisecond // a client whose request crosses the close of its connection sees the close within this
)

// Rules that a run may violate.
const (
	Lost                   = "lost"
	Duplicate              = "duplicate"
	RejectedAfterExecution = "rejected after execution"
	LateAttempt            = "attempt received too late"
	ExcessTimeLeft         = "announced too much time"
	SentToDraining         = "drain"
	Crash                  = "crash"
	Memory                 = "memory"
	IncompleteRequest      = "incomplete request kept open"
	CountedByFront         = "violations counted by the front"
)

// Violation is one violation of a rule.
type Violation struct {
	Rule, ID, Text string
	At             time.Duration
}

func (v Violation) String() string {
	return fmt.Sprintf("%8.3f s  %s: %s %s", v.At.Seconds(), v.Rule, v.ID, v.Text)
}

// checker checks one run and collects its violations.
type checker struct {
	*Record
	attempts map[string][]Attempt
	found    []Violation
}

// Check returns the violations of a run, ordered by time.
func Check(r *Record) []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &checker{Record: r, attempts: map[string][]Attempt{}}
	for _, a := range r.Attempts {
		c.attempts[a.ID] = append(c.attempts[a.ID], a)
	}
	for _, list := range c.attempts {
		slices.SortFunc(list, func(a, b Attempt) int { return cmp.Compare(a.FirstByte, b.FirstByte) })
	}
	for _, request := range r.Requests {
		c.checkAnswer(request)
		c.checkExecutions(request)
		for _, a := range c.attempts[request.ID] {
			c.checkAttempt(request, a)
		}
	}
	c.checkProcesses()
	for _, b := range r.BadClients {
		c.checkBadClient(b)
	}
	slices.SortFunc(c.found, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.found
}

func (c *checker) add(rule, id string, at time.Duration, format string, args ...any) {
	c.found = append(c.found, Violation{rule, id, fmt.Sprintf(format, args...), at})
}

// stallTime returns how long a process was stopped between two moments.
func (c *checker) stallTime(process int, from, to time.Duration) (sum time.Duration) {
	for _, s := range c.Processes[process].Stalls {
		sum += max(0, min(s.To, to)-max(s.From, from))
	}
	return sum
}

// checkAnswer checks that a request got an answer in time.
func (c *checker) checkAnswer(r Request) {
	p := c.Processes[r.Process]
	due := r.Sent + r.Wait + maxAnswerDelay + socketSlack
	switch r.Ending {
	case Answered:
		if stalled := c.stallTime(r.Process, r.Sent, r.Ended); r.Ended > due+stalled {
			c.add(Lost, r.ID, r.Ended, "answered with status %d %v after its deadline, sent to %s at %v",
				r.Status, r.Ended-r.Sent-r.Wait, p.Name, r.Sent)
		}
		return
	case Left:
		return
	}
	if p.KilledAt > 0 && r.Ended >= p.KilledAt-socketSlack {
		if p.TermAt > 0 && r.Sent > p.TermAt+answerRequiredAfter {
			c.add(Lost, r.ID, r.Ended, "no answer at SIGKILL, sent to %s %v after SIGTERM, %d attempts",
				p.Name, r.Sent-p.TermAt, len(c.attempts[r.ID]))
		}
		return
	}
	crossing := r.Ending == Closed && len(c.attempts[r.ID]) == 0 && r.Ended-r.Sent < maxCrossingTime+c.stallTime(r.Process, r.Sent, r.Ended)
	if crossing || p.Crashed { // a crash is reported separately
		return
	}
	c.add(Lost, r.ID, r.Ended, "no answer %v after it was sent to %s (ending %d, %d attempts)",
		r.Ended-r.Sent, p.Name, r.Ending, len(c.attempts[r.ID]))
}

// checkExecutions checks how often a request ran.
func (c *checker) checkExecutions(r Request) {
	var executed []Attempt
	for _, a := range c.attempts[r.ID] {
		if a.LastByte > 0 && !a.Rejected {
			executed = append(executed, a)
		}
	}
	for i, a := range executed {
		if i == 0 {
			continue
		}
		first := executed[0]
		switch {
		case r.Idempotency == Once:
			c.add(Duplicate, r.ID, a.LastByte, "executed %d times", len(executed))
		case r.Idempotency == Keyed && a.LastByte-first.FirstByte > c.Window+socketSlack+c.stallTime(r.Process, first.FirstByte, a.LastByte):
			c.add(Duplicate, r.ID, a.LastByte, "repeated %v after the first attempt, the deduplication window is %v",
				a.LastByte-first.FirstByte, c.Window)
		}
		if previous := executed[i-1]; previous.Ended == 0 || previous.Ended > a.LastByte {
			c.add(Duplicate, r.ID, a.LastByte, "attempt at %s while an attempt at %s was open", a.Node, previous.Node)
		}
	}
	refused := r.Ending == Answered && (r.Status == 429 || r.Status == 503)
	if refused && r.Idempotency == Once && len(executed) > 0 {
		c.add(RejectedAfterExecution, r.ID, r.Ended, "answered with status %d, executed at %s", r.Status, executed[0].Node)
	}
}

// checkAttempt checks one attempt of a request.
func (c *checker) checkAttempt(r Request, a Attempt) {
	stalled := c.stallTime(r.Process, r.Sent, max(a.FirstByte, a.LastByte))
	if a.LastByte > 0 {
		if late := a.LastByte - r.Sent - r.Wait; late > leaveSlack+stalled { // a client leaves at its deadline
			c.add(LateAttempt, r.ID, a.LastByte,
				"%v after its client's deadline of %v, by %s at %s, sent at %v, started at %v, announced %v, long %v, ending %d",
				late, r.Wait, c.Processes[r.Process].Name, a.Node, r.Sent, a.FirstByte, a.TimeLeft, r.Long, r.Ending)
		}
		if r.Ending == Left && a.LastByte-r.Ended > leaveSlack+stalled {
			c.add(Lost, r.ID, a.LastByte, "attempt at %s received %v after its client left", a.Node, a.LastByte-r.Ended)
		}
	}
	// The head of a long request is sent before the decision about its deadline: a known fault, see KNOWN-RED.txt.
	if left := r.Sent + r.Wait - a.FirstByte; a.TimeLeft >= 0 && !r.Long && a.TimeLeft > max(0, left)+timeLeftSlack+stalled {
		c.add(ExcessTimeLeft, r.ID, a.FirstByte, "node %s: announced time %v, %v left", a.Node, a.TimeLeft, left)
	}
	for _, d := range c.Drains {
		if d.Process == r.Process && d.Node == a.Node && a.FirstByte > d.AnnouncedAt+drainGrace+socketSlack &&
			(d.Until == 0 || a.FirstByte < d.Until) {
			c.add(SentToDraining, r.ID, a.FirstByte, "sent to %s %v after the front learned of its drain", a.Node, a.FirstByte-d.AnnouncedAt)
		}
	}
}

func (c *checker) checkProcesses() {
	for _, p := range c.Processes {
		if p.Crashed {
			c.add(Crash, p.Name, p.ExitedAt, "ended with status %d", p.Status)
		}
		if p.NotReady {
			c.add(Crash, p.Name, p.ExitedAt, "not ready in time")
		}
		if p.PeakMemory > c.MemoryLimit {
			c.add(Memory, p.Name, p.ExitedAt, "used %d bytes, its limit is %d", p.PeakMemory, c.MemoryLimit)
		}
		if p.CountedViolations > 0 {
			c.add(CountedByFront, p.Name, p.ExitedAt, "%d", p.CountedViolations)
		}
	}
}

func (c *checker) checkBadClient(b BadClient) {
	p := c.Processes[b.Process]
	if p.KilledAt > 0 && (b.Ended == 0 || b.Ended >= p.KilledAt-socketSlack) {
		return
	}
	limit := incompleteRequestTimeout + socketSlack + c.stallTime(b.Process, b.Began, b.Began+incompleteRequestTimeout)
	if b.Ended == 0 || b.Ended-b.Began > limit {
		c.add(IncompleteRequest, p.Name, b.Began, "client stopped after %d bytes and its connection stayed open, first request %v, ended %v",
			b.Bytes, b.First, b.Ended)
	}
}
