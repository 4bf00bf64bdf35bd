package world

import (
	"fmt"

	"otterturn/internal/lab/model"
	"otterturn/scheduler"
)

// Verdict is how a request ended for its client.
type Verdict int

// The kinds of Verdict.
const (
	Open Verdict = iota
	Served
	Late // answered beyond its aim
	Refused
	Failed
	Lost // with a front that ended
)

func (v Verdict) String() string {
	return [...]string{"open", "served", "late", "refused", "failed", "lost"}[v]
}

// End is the end of a request: of its last try, where the client came back.
type End struct {
	Verdict
	After scheduler.Micros // since the client meant to send it
}

// Request is one of a day's, drawn ahead.
type Request struct {
	At     scheduler.Micros // since the beginning
	Front  int              // that it comes to
	Work   float64          // microseconds on a core of speed 1
	Write  bool
	Comes  bool   // its client comes back after a refusal
	Heeds  bool   // and stays away for as long as it was told
	Writes string // the name under which it is found, "" for none
	Reads  string // it reads what was written under this name, where that is done
	scheduler.Request
}

// rush is after how long clients that heed no advice come back.
const rush = scheduler.Micros(20_000)

// try is one of a client's tries.
type try struct {
	Request
	n     int
	asked scheduler.Micros // when the first was meant to be sent
	aimAt scheduler.Micros
	leave scheduler.Micros
}

func (t *try) base() string { return t.Request.ID }

func (t *try) id() string {
	if t.n == 0 {
		return t.Request.ID
	}
	return fmt.Sprint(t.Request.ID, "~", t.n)
}

// Ask has a client ask for the first time. It doesn't wait for anything: what goes wrong later counts from here.
func (w *World) Ask(q Request) {
	if shard, done := w.placed[q.Reads]; done {
		q.Request.Shard = shard
	}
	class := w.Set.Classes[q.Class]
	w.ask(&try{Request: q, asked: w.Now, aimAt: w.Now + class.LatencyObjective, leave: w.Now + q.TimeLeft})
}

func (w *World) ask(t *try) {
	r := t.Request.Request
	r.ID, r.TimeLeft = t.id(), t.leave-w.Now
	w.open[r.ID] = t
	w.ended[t.base()] = End{Open, 0}
	for _, x := range w.watch {
		x.Asked(t.Front, r)
	}
	w.Fronts[t.Front].Submit(r)
}

// Job is what a try asks of a node.
func (w *World) Job(id string) (j model.Job, known bool) {
	t := w.open[id]
	if t == nil {
		return j, false
	}
	j = model.Job{Work: t.Work, Write: t.Write, Piece: t.Key}
	if w.Set.Classes[t.Class].Idempotency == scheduler.IdempotentByKey {
		j.Key = id
	}
	return j, true
}

// Reach has a try's attempt reach a node over a socket, and tells what it asks there.
func (w *World) Reach(id string, n *Node) (j model.Job, known bool) {
	j, known = w.Job(id)
	if known {
		for _, x := range w.watch {
			x.Sent(w.open[id].Front, id, n.Name)
		}
	}
	return j, known
}

// Left has an attempt that reached a node come back from it.
func (w *World) Left(id string, n *Node, r scheduler.Result) {
	for _, x := range w.watch {
		x.Back(id, r)
	}
	if r == scheduler.OK {
		w.Wrote(id, n.Shard)
	}
}

// Wrote notes where something was written.
func (w *World) Wrote(id string, shard int) {
	if t := w.open[id]; t != nil && t.Writes != "" {
		w.placed[t.Writes] = shard
	}
}

// Answer is a front's final answer to a try. A client that was refused may come back.
func (w *World) Answer(id string, v Verdict, why scheduler.Reason, retryAfter scheduler.Micros) {
	t := w.open[id]
	if t != nil && v == Served && w.Now > t.aimAt {
		v = Late
	}
	for _, x := range w.watch {
		x.Answered(id, v, why)
	}
	if t == nil {
		return
	}
	delete(w.open, id)
	w.ended[t.base()] = End{v, w.Now - t.asked}
	if v != Refused || !t.Comes {
		return
	}
	wait := rush
	if t.Heeds && retryAfter > 0 {
		wait = retryAfter
	}
	if next := (&try{t.Request, t.n + 1, t.asked, t.aimAt, t.leave}); w.Now+wait < t.leave-rush {
		w.plan(w.Now+wait, func() { w.ask(next) })
	}
}

// Ended tells how a request ended.
func (w *World) Ended(id string) End { return w.ended[id] }
