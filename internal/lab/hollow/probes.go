package hollow

import "otterturn/scheduler"

// probeBytes is what a probe on a connection of its own takes in both directions, with the headers of IP and TCP: the
// handshake, the head of the request, the answer and the close.
const probeBytes = 270

// wantProbe is a probe that the scheduler asks for.
func (f *front) wantProbe(now scheduler.Micros, name string) {
	node := f.numbers[name]
	f.world.watched.suspects(f, node, now)
	if f.health != nil {
		f.health.probeWanted(name)
		return
	}
	f.probe(now, node)
}

// probe sends one.
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

// probeEnded takes in the result of a probe; one that came later than it may counts for nothing.
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
