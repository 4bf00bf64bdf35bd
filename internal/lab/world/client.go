package world

import (
	"fmt"

	"otterturn/internal/lab/model"
	"otterturn/scheduler"
)

// Verdict is the outcome of a request for its client.
type Verdict int

// The verdicts.
const (
	Open Verdict = iota
	Served
	Late // answered after its latency objective
	Refused
	Failed
	Lost // its front ended
)

func (v Verdict) String() string {
	return [...]string{"open", "served", "late", "refused", "failed", "lost"}[v]
}

// End is the outcome of a request; for a client that retried, the outcome of the last try.
type End struct {
	Verdict
	After scheduler.Micros // time since the planned send time of the first try
}

// Request is a request of a day, drawn before the day runs.
type Request struct {
	At     scheduler.Micros // planned send time, since the start of the day
	Front  int              // index of the front that receives it
	Work   float64          // microseconds on a core of speed 1
	Write  bool
	Comes  bool   // its client retries after a rejection
	Heeds  bool   // its client waits for the advised retry time
	Writes string // name of the object that it writes, "" for none
	Reads  string // name of the object that it reads, if that has been written; "" for any
	scheduler.Request
}

// rush is the time in microseconds after which clients that ignore the advised retry time retry.
const rush = scheduler.Micros(20_000)

// try is the first submission of a client's request or a later one.
type try struct {
	Request
	n     int
	asked scheduler.Micros // planned send time of the first try
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

// Ask submits the first try of a request at its planned time, whatever the state of earlier requests. Latencies count from
// here.
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

// Job returns the job that a try is for a node, and whether the try is open.
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

// Reach reports that a try's attempt has reached a node over a socket. It returns as Job does.
func (w *World) Reach(id string, n *Node) (j model.Job, known bool) {
	j, known = w.Job(id)
	if known {
		for _, x := range w.watch {
			x.Sent(w.open[id].Front, id, n.Name)
		}
	}
	return j, known
}

// Left reports the result of an attempt as it leaves the node.
func (w *World) Left(id string, n *Node, r scheduler.Result) {
	for _, x := range w.watch {
		x.Back(id, r)
	}
	if r == scheduler.OK {
		w.Wrote(id, n.Shard)
	}
}

// Wrote records the shard of the object that a request has written.
func (w *World) Wrote(id string, shard int) {
	if t := w.open[id]; t != nil && t.Writes != "" {
		w.placed[t.Writes] = shard
	}
}

// Answer takes a front's final answer to a try. After a rejection the client may retry.
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

// Ended returns the outcome of a request.
func (w *World) Ended(id string) End { return w.ended[id] }
