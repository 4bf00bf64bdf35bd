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

// Outcome is how a request ended; for a client that retried, how the last try ended.
type Outcome struct {
	Verdict
	After scheduler.Micros // time since the planned send time of the first try
}

// Request is a request of a day, drawn before the day runs.
type Request struct {
	At              scheduler.Micros // planned send time, since the start of the day
	Front           int              // index of the front that receives it
	Work            float64          // microseconds on a core of speed 1
	Write           bool
	Retries         bool   // its client retries after a rejection
	HeedsRetryAfter bool   // its client waits for the advised retry time
	WritesObject    string // name of the object that it writes, "" for none
	ReadsObject     string // name of the object that it reads, if that has been written; "" for any
	scheduler.Request
}

// defaultRetryDelay is the time in microseconds after which clients that ignore the advised retry time retry.
const defaultRetryDelay = scheduler.Micros(20_000)

// try is the first submission of a client's request or a later one.
type try struct {
	Request
	number      int
	plannedAt   scheduler.Micros // planned send time of the first try
	objectiveAt scheduler.Micros
	leavesAt    scheduler.Micros
}

func (t *try) requestID() string { return t.Request.ID }

func (t *try) id() string {
	if t.number == 0 {
		return t.Request.ID
	}
	return fmt.Sprint(t.Request.ID, "~", t.number)
}

// Submit submits the first try of a request at its planned time, whatever the state of earlier requests. Latencies count from
// this time.
func (w *World) Submit(q Request) {
	if shard, done := w.objectShards[q.ReadsObject]; done {
		q.Request.Shard = shard
	}
	class := w.Set.Classes[q.Class]
	w.submit(&try{Request: q, plannedAt: w.Now, objectiveAt: w.Now + class.LatencyObjective, leavesAt: w.Now + q.TimeLeft})
}

func (w *World) submit(t *try) {
	r := t.Request.Request
	r.ID, r.TimeLeft = t.id(), t.leavesAt-w.Now
	w.open[r.ID] = t
	w.outcomes[t.requestID()] = Outcome{Open, 0}
	for _, x := range w.watchers {
		x.RequestSubmitted(t.Front, r)
	}
	w.Fronts[t.Front].Submit(r)
}

// Job returns the job that a try is for a node, and whether the try is open.
func (w *World) Job(id string) (j model.Job, known bool) {
	t := w.open[id]
	if t == nil {
		return j, false
	}
	j = model.Job{Work: t.Work, Write: t.Write, Object: t.Key}
	if w.Set.Classes[t.Class].Idempotency == scheduler.IdempotentByKey {
		j.Key = id
	}
	return j, true
}

// AttemptReached reports that a try's attempt has reached a node over a socket. It returns as Job does.
func (w *World) AttemptReached(id string, n *Node) (j model.Job, known bool) {
	j, known = w.Job(id)
	if known {
		for _, x := range w.watchers {
			x.AttemptStarted(w.open[id].Front, id, n.Name)
		}
	}
	return j, known
}

// AttemptLeft reports the result of an attempt as it leaves the node.
func (w *World) AttemptLeft(id string, n *Node, r scheduler.Result) {
	for _, x := range w.watchers {
		x.AttemptFinished(id, r)
	}
	if r == scheduler.OK {
		w.RecordWrite(id, n.Shard)
	}
}

// RecordWrite records the shard of the object that a request has written.
func (w *World) RecordWrite(id string, shard int) {
	if t := w.open[id]; t != nil && t.WritesObject != "" {
		w.objectShards[t.WritesObject] = shard
	}
}

// Answer takes a front's final answer to a try. After a rejection the client may retry.
func (w *World) Answer(id string, v Verdict, why scheduler.Reason, retryAfter scheduler.Micros) {
	t := w.open[id]
	if t != nil && v == Served && w.Now > t.objectiveAt {
		v = Late
	}
	for _, x := range w.watchers {
		x.RequestAnswered(id, v, why)
	}
	if t == nil {
		return
	}
	delete(w.open, id)
	w.outcomes[t.requestID()] = Outcome{v, w.Now - t.plannedAt}
	if v != Refused || !t.Retries {
		return
	}
	wait := defaultRetryDelay
	if t.HeedsRetryAfter && retryAfter > 0 {
		wait = retryAfter
	}
	if next := (&try{t.Request, t.number + 1, t.plannedAt, t.objectiveAt, t.leavesAt}); w.Now+wait < t.leavesAt-defaultRetryDelay {
		w.schedule(w.Now+wait, func() { w.submit(next) })
	}
}

// OutcomeOf returns how a request ended.
func (w *World) OutcomeOf(id string) Outcome { return w.outcomes[id] }
