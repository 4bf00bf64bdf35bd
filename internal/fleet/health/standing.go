package health

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"otterturn/scheduler"
)

// maxSingleRepeats is up to how many silent nodes a front repeats one by one. Of more, as when a region can't be seen, it also
// says in one entry that all of them still are; the list of them goes out as there is room.
const maxSingleRepeats = 8

// setKey is what a node adds to the key of a set of silent nodes: the exclusive or of all of them.
func (n *node) setKey() uint64 {
	var both [16]byte
	copy(both[:8], appendBits(nil, n.key, 64))
	copy(both[8:], appendBits(nil, uint64(n.encodedStart), 64))
	return xxhash.Sum64(both[:]) & (1<<keyBits - 1)
}

// stillSilentUpdate is news that all nodes that this front told as silent still are, of those that it is among the first to tell
// of; ok is false where that can't be said or is not worth it. Where a front is still to be told of some the sets differ.
func (m *Monitor) stillSilentUpdate() (out update, ok bool) {
	out = update{state: StillSilent, at: m.now}
	count := 0
	for _, n := range m.due {
		if n.investigation == nil || n.rank >= m.config.Quorum || m.announcedState(n) != Silent {
			continue
		}
		own, seen := n.evidence.of(m.config.Self)
		if !seen || own.state != Silent { // to be taken back soon
			return update{}, false
		}
		out.node ^= n.setKey()
		out.at = min(out.at, own.at)
		count++
	}
	return out, count > maxSingleRepeats
}

// receiveStillSilent takes in that a front still finds all nodes silent that it told of, where these are those that this one heard of.
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
		if n.investigation == nil || n.ranked == nil || !slices.Contains(n.ranked[:m.config.Quorum], from) {
			continue
		}
		if o, told := n.evidence.of(from); told && o.state == Silent {
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
