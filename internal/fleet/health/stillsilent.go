package health

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"otterturn/scheduler"
)

// maxSingleRepeats is the maximum number of silent nodes that a front repeats only one by one. With more, for example when
// a region is unreachable, it also sends one entry for all of them; the single entries follow as the rate limit permits.
const maxSingleRepeats = 8

// setKey returns the node's part of the key of a set of silent nodes: that key is the exclusive or of all parts.
func (n *node) setKey() uint64 {
	var both [16]byte
	copy(both[:8], appendBits(nil, n.key, 64))
	copy(both[8:], appendBits(nil, uint64(n.encodedStart), 64))
	return xxhash.Sum64(both[:]) & (1<<keyBits - 1)
}

// stillSilentUpdate returns an update that all nodes that this front announced as silent still are, limited to nodes for
// which it ranks within the quorum. ok is false if one of them is no longer silent, or if they are too few for a common
// entry. A recipient that has not yet received all announcements has a different set and drops the entry.
func (m *Monitor) stillSilentUpdate() (u update, ok bool) {
	u = update{state: StillSilent, at: m.now}
	count := 0
	for _, n := range m.due {
		if n.investigation == nil || n.rank >= m.config.Quorum || m.announcedState(n) != Silent {
			continue
		}
		own, seen := n.evidence.observationOf(m.config.Self)
		if !seen || own.state != Silent { // this front is about to announce that it is reachable
			return update{}, false
		}
		u.node ^= n.setKey()
		u.at = min(u.at, own.at)
		count++
	}
	return u, count > maxSingleRepeats
}

// receiveStillSilent handles the entry that all nodes that a front announced as silent still are. It refreshes the
// evidence only if the set equals the announcements that this front received.
func (m *Monitor) receiveStillSilent(from int, e Entry, delay scheduler.Micros) Drop {
	if e.Age < 0 {
		return DropFuture
	}
	if e.Age+delay >= m.config.EvidenceLifetime {
		return DropExpired
	}
	var all []*node
	set := uint64(0)
	for _, n := range m.due {
		if n.investigation == nil || n.ranking == nil || !slices.Contains(n.ranking[:m.config.Quorum], from) {
			continue
		}
		if o, known := n.evidence.observationOf(from); known && o.state == Silent {
			all = append(all, n)
			set ^= n.setKey()
		}
	}
	if set != e.Node {
		return DropSetMismatch
	}
	slices.SortFunc(all, byName)
	for _, n := range all {
		m.checks.add(&n.evidence, observation{from, Silent, m.now - delay - e.Age})
		m.scheduleReview(n)
	}
	return ""
}
