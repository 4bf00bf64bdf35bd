package rules

// NodeSilent tells that other hosts found a node silent, as of a start and a time.
type NodeSilent struct {
	Node  string
	Since Micros // the node's last start, as far as they know
	At    Micros // when it was observed; an answer that this host had later counts for more
}

func (NodeSilent) event() {}

// silenced takes in that other hosts found a node silent: nothing is sent to it until a probe is answered. An answer
// to this host that is younger, and the node list, count for more.
func (s *Scheduler) silenced(e NodeSilent) {
	n := s.byName[e.Node]
	if n == nil || n.Since != e.Since || n.Answered >= e.At || n.heard >= e.At || n.mute > 0 {
		return
	}
	s.agenda.Touch(&n.entry)
	n.mute, n.probeAt = s.now, s.now
}
