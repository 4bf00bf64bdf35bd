package hollow

import "otterturn/scheduler"

// bytesPerProbe is the traffic of a probe on its own connection in both directions, with the headers of IP and TCP:
// handshake, request header, answer and close.
const bytesPerProbe = 270

// requestProbe handles the scheduler's request for a probe.
func (f *front) requestProbe(now scheduler.Micros, name string) {
	node := f.nodeNumbers[name]
	f.world.watched.probeRequested(f, node, now)
	if f.health != nil {
		f.health.requestProbe(name)
		return
	}
	f.sendProbe(now, node)
}

// sendProbe sends a probe to a node.
func (f *front) sendProbe(now scheduler.Micros, node int32) {
	f.probeCount++
	f.pendingProbes[f.probeCount] = node
	f.probeTimeouts.push(pendingProbe{f.probeCount, now + micros(f.world.limits.Nodes.ProbeTimeout)})
	f.counts.currentSecond[probesSent]++
	f.counts.currentSecond[probeTraffic] += bytesPerProbe
	f.world.watched.countProbe(f, node)
	f.digest.add(uint64(now), f.probeCount, uint64(node))
	f.send(now, message{to: f.world.nodeID(node), kind: kindProbe, number: f.probeCount})
}

func (f *front) handleProbeReply(m *message) {
	f.endProbe(m.number, m.result == scheduler.OK, m.value)
}

// endProbe reports the result of a probe to the health monitor or the scheduler. It ignores an answer after the probe's
// timeout.
func (f *front) endProbe(number uint64, ok bool, queueLength float64) {
	node, pending := f.pendingProbes[number]
	if !pending {
		return
	}
	delete(f.pendingProbes, number)
	result := scheduler.HealthChecked{Node: f.nodeNames[node], OK: ok, Queue: queueLength}
	if f.health != nil {
		f.health.probeEnded(result)
		return
	}
	f.events = append(f.events, result)
}
