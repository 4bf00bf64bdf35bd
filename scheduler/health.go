package scheduler

// NodeSilent tells that other hosts found a node silent, as of a start and a time.
type NodeSilent struct {
	Node  string
	Since Micros // the node's last start, as far as they know
	At    Micros // when it was observed; an answer that this host had later counts for more
}

func (NodeSilent) event() {}

// silenced takes in that other hosts found a node silent: nothing is sent to it until a probe is answered, which is
// wanted at once. An answer to this host that is younger, and the node list, count for more. What answers next may be
// a new process, which is cold before the list says so: other hosts saw whether it was refused or silent, this one did
// not, so it is guarded as after a broken connection. Without probes nothing would end the silence.
func (s *Scheduler) silenced(e NodeSilent) {
	n := s.byName[e.Node]
	if n == nil || !s.set.Probing || n.Since != e.Since || n.Answered >= e.At || n.heard >= e.At || n.mute > 0 {
		return
	}
	s.agenda.Touch(&n.entry)
	n.mute, n.Suspect, n.probeAt = s.now, s.now, s.now
	n.lastSend = max(n.lastSend, e.At) // probes go by how long the silence lasts, also where this host sent nothing
	s.anew(n)
}
