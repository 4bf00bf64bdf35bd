// Package roster is the list of nodes as a front goes by it: what discovery told, less what operators keep out by
// hand. It does no I/O and reads no clock. Its owner sees to it that one caller at a time uses it.
package roster

import (
	"maps"
	"slices"

	"otterturn/internal/net/protocol"
	"otterturn/scheduler"
)

// Roster is the list. A ban is a node's name, not its process: it outlasts restarts of the node and whatever the
// list says of it, and holds until it is lifted.
type Roster struct {
	hosts map[string]protocol.Host
	bans  map[string]string // who told, by node
}

// New returns an empty one.
func New() *Roster {
	return &Roster{hosts: map[string]protocol.Host{}, bans: map[string]string{}}
}

// Update takes in what discovery told, and returns it as it is to be acted on.
func (r *Roster) Update(list protocol.List) protocol.List {
	out := list
	out.Hosts = slices.Clone(list.Hosts)
	if list.Whole {
		former := r.hosts
		r.hosts = map[string]protocol.Host{}
		for _, name := range list.Odd {
			if h, listed := former[name]; listed {
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

// effective is a node's entry as it is acted on: one that is banned takes nothing new, as one that drains.
func (r *Roster) effective(h protocol.Host) protocol.Host {
	if _, banned := r.bans[h.Node]; banned && h.State == scheduler.Running {
		h.State = scheduler.Draining
	}
	return h
}

// Ban keeps a node out, and returns the change to act on; twice is once. It is false for a node that nobody has.
func (r *Roster) Ban(node, by string) (protocol.List, bool) {
	if _, listed := r.hosts[node]; !listed && r.bans[node] == "" {
		return protocol.List{}, false
	}
	r.bans[node] = by
	return r.change(node), true
}

// Unban lets a node serve again as the list has it, however often it was banned, and returns the change to act on.
// It is false for a node that nobody has.
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

// Bans are the nodes that are kept out by hand, with who told.
func (r *Roster) Bans() map[string]string { return maps.Clone(r.bans) }

// RestoreBans has nodes kept out that another process of the front kept out.
func (r *Roster) RestoreBans(bans map[string]string) { maps.Copy(r.bans, bans) }

// Len tells how many nodes are on the list.
func (r *Roster) Len() int { return len(r.hosts) }

// FullList is the whole list as discovery told it.
func (r *Roster) FullList() protocol.List {
	out := protocol.List{Whole: true}
	for _, name := range slices.Sorted(maps.Keys(r.hosts)) {
		out.Hosts = append(out.Hosts, r.hosts[name])
	}
	return out
}
