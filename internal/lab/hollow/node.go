package hollow

import (
	"otterturn/internal/lab/model"
	"otterturn/scheduler"
)

// node is a modelled storage node with its connection to the network.
type node struct {
	sender
	*model.Node
	name   string
	shard  int
	counts nodeCounts
}

// attemptRef identifies an attempt that a node queues or serves.
type attemptRef struct {
	from    int32
	number  uint64
	attempt int32
}

func newNode(s sender, name string, shard int) *node {
	return &node{sender: s, Node: model.New(s.world.settings.nodeParameters()), name: name, shard: shard}
}

func (n *node) handle(end scheduler.Micros, in []message) {
	for i := range in {
		n.finishJobs(in[i].at)
		n.handleMessage(&in[i])
	}
	n.finishJobs(end - 1)
}

// finishJobs finishes the jobs that end up to a time, and replies to them.
func (n *node) finishJobs(until scheduler.Micros) {
	for {
		at, found := n.Next()
		if !found || scheduler.Micros(at) > until {
			return
		}
		for _, d := range n.Finish(at) {
			j := d.Tag.(*attemptRef)
			n.counts.served++
			n.reply(scheduler.Micros(d.At), j.from, j.number, j.attempt, scheduler.OK)
		}
	}
}

func (n *node) handleMessage(m *message) {
	switch m.kind {
	case kindAttempt:
		n.counts.attempts++
		n.startAttempt(m)
	case kindProbe:
		n.counts.probes++
		n.answerProbe(m)
	}
}

func (n *node) startAttempt(m *message) {
	switch {
	case n.Dead:
		n.reply(m.at, m.from, m.number, m.attempt, scheduler.Unreachable)
	case n.Unresponsive:
	case !n.Arrive(int64(m.at), model.Job{Tag: &attemptRef{m.from, m.number, m.attempt}, Work: m.value * workPerUnit}):
		n.reply(m.at, m.from, m.number, m.attempt, scheduler.QueueFull)
	}
}

func (n *node) reply(at scheduler.Micros, to int32, number uint64, attempt int32, result scheduler.Result) {
	if n.Unresponsive {
		return
	}
	n.send(at, message{to: to, kind: kindReply, number: number, attempt: attempt, result: result})
}

func (n *node) answerProbe(m *message) {
	reply := message{to: m.from, kind: kindProbeReply, number: m.number, value: -1}
	switch {
	case n.Dead:
		reply.result = scheduler.Unreachable
	case n.Silent():
		return
	default:
		reply.value = float64(n.Probe(int64(m.at)))
	}
	n.send(m.at, reply)
}

// kill ends the node's process: open attempts end with a reset, and new ones with scheduler.Unreachable.
func (n *node) kill(now scheduler.Micros) {
	for _, lost := range n.Die() {
		if j, isAttempt := lost.Tag.(*attemptRef); isAttempt {
			n.reply(now, j.from, j.number, j.attempt, scheduler.Reset)
		}
	}
}
