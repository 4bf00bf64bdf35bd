package world

import (
	"otterturn/internal/lab/model"
	"otterturn/scheduler"
)

// Reply is the outcome of an attempt at a node.
type Reply int

// The replies. A silent node gives none.
const (
	Answer Reply = iota
	QueueFull
	Unreachable
	ConnectionBroken // the connection broke; the request may have run
	Malformed
)

// nodeAttempt is an attempt at a node. reply is called once, or never if the node becomes silent.
type nodeAttempt struct {
	node  *Node
	reply func(Reply)
}

// sendReply sends the reply, unless one was sent or the node is unresponsive.
func (t *nodeAttempt) sendReply(r Reply) {
	if reply := t.reply; reply != nil && !t.node.Unresponsive {
		t.reply = nil
		reply(r)
	}
}

// Arrive delivers an attempt to a node.
func (w *World) Arrive(n *Node, j model.Job, reply func(Reply)) {
	t := &nodeAttempt{n, reply}
	switch {
	case n.Dead:
		t.sendReply(Unreachable)
		return
	case n.Unresponsive:
		return
	case n.BreakShare > 0 && w.Rand.Float64() < n.BreakShare:
		t.sendReply(ConnectionBroken)
		return
	}
	j.Tag = t
	if !n.Node.Arrive(int64(w.Now), j) {
		t.sendReply(QueueFull)
		return
	}
	w.scheduleNextEnd(n)
}

// Probe delivers a health check to a node and returns whether it answers and how many jobs are queued.
func (w *World) Probe(n *Node) scheduler.HealthChecked {
	if n.Silent() {
		return scheduler.HealthChecked{Node: n.Name, Queue: -1}
	}
	return scheduler.HealthChecked{Node: n.Name, OK: true, Queue: float64(n.Node.Probe(int64(w.Now)))}
}

// scheduleNextEnd schedules the next end of a job at a node.
func (w *World) scheduleNextEnd(n *Node) {
	at, ok := n.Next()
	if !ok {
		return
	}
	startedAt := n.StartedAt
	w.schedule(scheduler.Micros(at), func() {
		if n.StartedAt != startedAt || n.Dead { // the process has ended or was restarted
			return
		}
		for _, d := range n.Finish(int64(w.Now)) {
			r := Answer
			if n.MalformedShare > 0 && w.Rand.Float64() < n.MalformedShare {
				r = Malformed
			}
			d.Tag.(*nodeAttempt).sendReply(r)
		}
		w.scheduleNextEnd(n)
	})
}
