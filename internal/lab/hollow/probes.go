package hollow

import "otterturn/scheduler"

// probeBytes is the traffic of a probe on its own connection in both directions, with the headers of IP and TCP: handshake,
// request header, answer and close.
const probeBytes = 270

// wantProbe handles the scheduler's request for a probe.
func (f *front) wantProbe(now scheduler.Micros, name string) {
	node := f.numbers[name]
	f.world.watched.suspects(f, node, now)
	if f.health != nil {
		f.health.probeWanted(name)
		return
	}
	f.probe(now, node)
}

// probe sends a probe to a node.
func (f *front) probe(now scheduler.Micros, node int32) {
	f.probed++
	f.probes[f.probed] = node
	f.late.push(probeOut{f.probed, now + micros(f.world.limits.Nodes.ProbeTimeout)})
	f.counts.now[probesSent]++
	f.counts.now[probeTraffic] += probeBytes
	f.world.watched.probed(f, node)
	f.digest.add(uint64(now), f.probed, uint64(node))
	f.send(now, message{to: f.world.nodeID(node), kind: kindProbe, number: f.probed})
}

func (f *front) probeReplied(m *message) {
	f.probeEnded(m.number, m.result == scheduler.OK, m.value)
}

// probeEnded reports the result of a probe to the health monitor or the scheduler. It ignores an answer after the probe's
// timeout.
func (f *front) probeEnded(number uint64, ok bool, waits float64) {
	node, out := f.probes[number]
	if !out {
		return
	}
	delete(f.probes, number)
	result := scheduler.HealthChecked{Node: f.names[node], OK: ok, Queue: waits}
	if f.health != nil {
		f.health.probeEnded(result)
		return
	}
	f.events = append(f.events, result)
}
