// Package roster keeps a front's node list: the list from discovery, with the operators' bans applied. It does no I/O and
// reads no clock. A Roster is not safe for concurrent use.
package roster

import (
	"maps"
	"slices"

	"otterturn/internal/net/protocol"
	"otterturn/scheduler"
)

// Roster is the node list with bans. A ban applies to a node's name: it survives restarts of the node and changes of the
// list until an operator ends it.
type Roster struct {
	hosts map[string]protocol.Host
	bans  map[string]string // the operator who banned a node, by the node's name
}

// New returns an empty Roster.
func New() *Roster {
	return &Roster{hosts: map[string]protocol.Host{}, bans: map[string]string{}}
}

// Update applies a list from discovery and returns it with the bans applied. Nodes whose entries in a full list are invalid
// keep their former entries.
func (r *Roster) Update(list protocol.List) protocol.List {
	out := list
	out.Hosts = slices.Clone(list.Hosts)
	if list.Full {
		previous := r.hosts
		r.hosts = map[string]protocol.Host{}
		for _, name := range list.Invalid {
			if h, listed := previous[name]; listed {
				out.Hosts = append(out.Hosts, h)
			}
		}
	}
	for i, h := range out.Hosts {
		if h.State == scheduler.Removed {
			delete(r.hosts, h.Node)
		} else {
			r.hosts[h.Node] = h
		}
		out.Hosts[i] = r.effective(h)
	}
	return out
}

// effective returns a node's entry with the bans applied: a banned node is draining.
func (r *Roster) effective(h protocol.Host) protocol.Host {
	if _, banned := r.bans[h.Node]; banned && h.State == scheduler.Running {
		h.State = scheduler.Draining
	}
	return h
}

// Ban bans a node and returns the resulting change of the list. by is the operator's name; banning a node again only replaces
// it. Ban returns false for an unknown node.
func (r *Roster) Ban(node, by string) (protocol.List, bool) {
	if _, listed := r.hosts[node]; !listed && r.bans[node] == "" {
		return protocol.List{}, false
	}
	r.bans[node] = by
	return r.change(node), true
}

// Unban ends the ban of a node, however often it was banned, and returns the resulting change of the list. It returns false
// for an unknown node.
func (r *Roster) Unban(node, _ string) (protocol.List, bool) {
	if _, listed := r.hosts[node]; !listed && r.bans[node] == "" {
		return protocol.List{}, false
	}
	delete(r.bans, node)
	return r.change(node), true
}

func (r *Roster) change(node string) (out protocol.List) {
	if h, listed := r.hosts[node]; listed {
		out.Hosts = []protocol.Host{r.effective(h)}
	}
	return out
}

// Bans returns the banned nodes with the operators who banned them.
func (r *Roster) Bans() map[string]string { return maps.Clone(r.bans) }

// RestoreBans adds the bans of another process of the front.
func (r *Roster) RestoreBans(bans map[string]string) { maps.Copy(r.bans, bans) }

// Len returns the number of nodes on the list.
func (r *Roster) Len() int { return len(r.hosts) }

// FullList returns the full list from discovery, without the bans, ordered by name.
func (r *Roster) FullList() protocol.List {
	out := protocol.List{Full: true}
	for _, name := range slices.Sorted(maps.Keys(r.hosts)) {
		out.Hosts = append(out.Hosts, r.hosts[name])
	}
	return out
}
