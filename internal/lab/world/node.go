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
	TurnedAway
	Unreachable
	Broken // the connection broke; the request may have run
	Garbled
)

// Ticket is an attempt at a node. reply is called once, or never if the node becomes silent.
type Ticket struct {
	node  *Node
	reply func(Reply)
}

// back sends the reply, unless one was sent or the node is mute.
func (t *Ticket) back(r Reply) {
	if reply := t.reply; reply != nil && !t.node.Mute {
		t.reply = nil
		reply(r)
	}
}

// Arrive delivers an attempt to a node.
func (w *World) Arrive(n *Node, j model.Job, reply func(Reply)) {
	t := &Ticket{n, reply}
	switch {
	case n.Dead:
		t.back(Unreachable)
		return
	case n.Mute:
		return
	case n.Breaks > 0 && w.Rand.Float64() < n.Breaks:
		t.back(Broken)
		return
	}
	j.Tag = t
	if !n.Node.Arrive(int64(w.Now), j) {
		t.back(TurnedAway)
		return
	}
	w.tend(n)
}

// Probe delivers a health check to a node and returns whether it answers and how many jobs are queued.
func (w *World) Probe(n *Node) scheduler.HealthChecked {
	if n.Silent() {
		return scheduler.HealthChecked{Node: n.Name, Queue: -1}
	}
	return scheduler.HealthChecked{Node: n.Name, OK: true, Queue: float64(n.Node.Probe(int64(w.Now)))}
}

// tend schedules the next end of a job at a node.
func (w *World) tend(n *Node) {
	at, ok := n.Next()
	if !ok {
		return
	}
	life := n.Up
	w.plan(scheduler.Micros(at), func() {
		if n.Up != life || n.Dead { // the process has ended or was restarted
			return
		}
		for _, d := range n.Finish(int64(w.Now)) {
			r := Answer
			if n.Spoils > 0 && w.Rand.Float64() < n.Spoils {
				r = Garbled
			}
			d.Tag.(*Ticket).back(r)
		}
		w.tend(n)
	})
}
