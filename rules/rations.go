package rules

import (
	"slices"

	"otterturn/rules/cold"
)

// ration is what this host deals out at one cold node, see package cold.
type ration struct {
	node string
	*cold.Ration[Micros]
}

// isCold tells whether a node may still be warming up.
func (s *Scheduler) isCold(n *node) bool {
	up := max(n.Since, n.Suspect)
	return up > 0 && s.now < up+s.set.Ramp
}

// bears tells whether a node that may be cold can take a request more.
func (s *Scheduler) bears(n *node, r *request) bool {
	if !s.isCold(n) {
		n.cold.Clear()
		return true
	}
	return r.Units <= n.cold.Room(s.now)
}

// wish asks for room at a cold node: the host that deals there, which may be this one.
func (s *Scheduler) wish(n *node, sh *shard, next *request) {
	dealer, may := s.cold.Dealer(n.Node, s.now)
	own := dealer == s.set.Number
	if !own && !s.set.Peers || own && !may || !n.cold.Asks(s.now) {
		return
	}
	w := cold.Wish{Units: next.Units, Least: next.Units, Shown: n.cold.Shown()}
	for f := range sh.busy.All {
		for _, r := range f.held {
			w.Least = min(w.Least, r.Units)
		}
	}
	s.ask(dealer, n, w)
}

func (s *Scheduler) ask(dealer int, n *node, w cold.Wish) {
	if dealer == s.set.Number {
		s.asked(Asked{From: dealer, Node: n.Node, Since: n.Since, Wish: w})
	} else {
		s.out = append(s.out, Ask{To: dealer, Node: n.Node, Since: n.Since, Wish: w})
	}
}

// answered takes in an answer of a node that may be cold, and tells the host that deals there: one of many hosts
// meets the node seldom, and what it saw would be told only with its next request.
func (s *Scheduler) answered(n *node, r *request, latency Micros) {
	n.cold.Answered(s.now, r.Key, r.Units, latency)
	dealer, _ := s.cold.Dealer(n.Node, s.now)
	if (s.set.Peers || dealer == s.set.Number) && n.cold.Tells(s.now) {
		s.ask(dealer, n, cold.Wish{Shown: n.cold.Shown()})
	}
}

// anew forgets what a node showed of its speed, where it may have started again.
func (s *Scheduler) anew(n *node) {
	n.cold.Clear()
	for _, r := range s.rations {
		if r.node == n.Node {
			r.Anew()
		}
	}
}

// hear takes in what another host says.
func (s *Scheduler) hear(e Event) {
	switch e := e.(type) {
	case Asked:
		s.asked(e)
	case Granted:
		s.granted(e)
	case NodeSilent:
		s.silenced(e)
	}
}

// asked has a host wait for room at a node, or takes in what it saw there. What this host has not been told of it may
// not deal out, and what was seen of a start that this one does not know counts for none.
func (s *Scheduler) asked(e Asked) {
	n := s.byName[e.Node]
	if e.From < 0 || e.From >= s.set.Hosts || n == nil {
		return
	}
	if e.Since != n.Since {
		e.Shown = cold.Shown{}
	}
	i := slices.IndexFunc(s.rations, func(r ration) bool { return r.node == e.Node })
	if i < 0 {
		i = len(s.rations)
		s.rations = append(s.rations, ration{e.Node, s.cold.Ration()})
	}
	if e.Units <= 0 {
		s.rations[i].Tell(s.now, e.From, e.Shown)
		return
	}
	s.rations[i].Ask(s.now, e.From, e.Wish)
}

// deal grants what may be sent to cold nodes. One that this host takes for warm may have restarted unseen.
func (s *Scheduler) deal() {
	kept := s.rations[:0]
	for _, r := range s.rations {
		n := s.byName[r.node]
		if n == nil || r.Idle(s.now) {
			continue
		}
		kept = append(kept, r)
		dealer, may := s.cold.Dealer(r.node, s.now)
		if dealer != s.set.Number {
			r.Drop() // those who wait have to ask another by now
		}
		if !may || s.now <= max(s.began, s.dealsFrom)+s.cold.Counts() {
			continue
		}
		age := Micros(0)
		if s.isCold(n) {
			age = s.age(n)
		}
		for _, g := range r.Deal(s.now, s.cold.Borne(age)) {
			if g.Host == s.set.Number {
				s.granted(Granted{From: g.Host, Node: r.node, Units: g.Units, Until: g.Until})
				continue
			}
			s.out = append(s.out, Grant{To: g.Host, Node: r.node, Units: g.Units, Until: g.Until})
		}
	}
	s.rations = kept
}

// granted makes room at a cold node. A grant counts only from the host that dealt as it was made.
func (s *Scheduler) granted(e Granted) {
	n := s.byName[e.Node]
	if n == nil || e.Units <= 0 || !s.cold.Dealt(e.Node, e.From, s.now, e.Until) {
		return
	}
	s.agenda.Touch(&n.entry)
	n.cold.Granted(s.now, e.Units, e.Until)
}

// wishing tells that a host waits for room that this one deals out.
func (s *Scheduler) wishing() bool {
	return slices.ContainsFunc(s.rations, func(r ration) bool { return r.Waits() })
}

// age is how long a node that may be cold has been up.
func (s *Scheduler) age(n *node) Micros { return s.now - max(n.Since, n.Suspect) }
