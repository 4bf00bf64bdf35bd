package health

import (
	"slices"

	"otterturn/scheduler"
)

// audit checks each action against the state of the simulation.
func (t *trial) audit(f *simFront, a Action) {
	switch a := a.(type) {
	case StartProbe:
		if t.probeStarts[f.number] == nil {
			t.probeStarts[f.number] = map[string]scheduler.Micros{}
		}
		t.probeStarts[f.number][a.Node] = t.now
	case SendMessage:
		t.auditSend(f, a)
	case ReportSilent:
		t.auditReport(f, a)
	}
}

// auditSend checks the size of messages and the bytes that a front sends per second.
func (t *trial) auditSend(f *simFront, a SendMessage) {
	size := len(a.Message.Encode())
	if size > MaxMessageBytes || size != a.Message.size() {
		t.addViolation("front %d sends %d bytes, size() returns %d", f.number, size, a.Message.size())
	}
	list := append(t.sent[f.number], sentBytes{t.now, size})
	for list[0].at < t.now-second {
		list = list[1:]
	}
	t.sent[f.number] = list
	sum := 0
	for _, s := range list {
		sum += s.bytes
	}
	if sum > smallBytes {
		t.addViolation("front %d sends %d bytes within a second", f.number, sum)
	}
	for _, e := range a.Message.Entries { // every front that receives it may count it
		if e.State == Silent {
			for _, to := range t.fronts {
				t.silentObservations[silentObservation{to.number, f.number, e.Node, e.StartedAt}] = t.now - e.Age
			}
		}
	}
}

// auditReport checks that a quorum of fronts has recent unanswered probes of the reported start of the node.
func (t *trial) auditReport(f *simFront, a ReportSilent) {
	key, start := NodeKey(a.Node), encodeStart(a.StartedAt)
	origins := 0
	for _, other := range t.fronts {
		at, known := t.silentObservations[silentObservation{f.number, other.number, key, start}]
		if other == f {
			at, known = t.probeStarts[f.number][a.Node]
		}
		if known && at > t.now-smallEvidenceLifetime-second {
			origins++
		}
	}
	if origins < f.config.Quorum {
		t.addViolation("front %d reports %s silent with evidence from only %d fronts", f.number, a.Node, origins)
	}
	if a.StartedAt != f.knownStarts[a.Node] {
		t.addViolation("front %d reports an earlier start of a node silent", f.number)
	}
}

func (t *trial) checkProbeRequests() {
	for _, f := range t.fronts {
		for node, at := range f.probeRequests {
			if !f.paused && !f.removed && t.now > at+maxAnswerTime {
				t.addViolation("front %d has not answered a probe request for %s for %d ms", f.number, node, (t.now-at)/1000)
			}
		}
	}
}

func (t *trial) checkAgreement() {
	for _, n := range t.nodes {
		var avoid []int
		living := 0
		for _, f := range t.fronts {
			if f.removed {
				continue
			}
			living++
			known := f.monitor.byName[n.name]
			if known.investigation != nil && known.avoided {
				avoid = append(avoid, f.number)
			}
		}
		switch {
		case n.dead && len(avoid) < living:
			t.addViolation("%s is silent, but only fronts %v avoid it", n.name, avoid)
		case !n.dead && len(avoid) > 0:
			t.addViolation("%s is running, but fronts %v avoid it", n.name, avoid)
		}
	}
}

// checkSuccess checks that evidence older than a success does not make the front avoid the node.
func (t *trial) checkSuccess(f *simFront, node string) {
	n := f.monitor.byName[node]
	if n.running() && n.investigation != nil && n.avoided && !slices.ContainsFunc(n.evidence, func(o observation) bool {
		return o.state == Silent && o.at > t.now-1
	}) {
		t.addViolation("front %d avoids %s, which has just answered it", f.number, node)
	}
}
