// Package decay decides what of a front's earlier knowledge still counts. It reads no clock and does no I/O.
//
// Each kind of knowledge fades at its own rate towards what a fresh front assumes, by half in each of its
// half-lives. What is hours old leaves no trace but the list of nodes.
package decay

import (
	"errors"
	"fmt"
	"math"
	"time"

	"otterturn/internal/state/snapshot"
	"otterturn/scheduler"
)

// Rates at which knowledge fades.
const (
	// horizon is the age at which nothing is left of what was learned of nodes and projects.
	horizon = 10 * time.Minute
	// speedHalf is for latencies, targets and budgets: load on a node changes within minutes.
	speedHalf = time.Minute
	// errorHalf is for the share of errors: what fails is mended, or not, within seconds.
	errorHalf = 10 * time.Second
	// unitLife is for the time of a unit, which goes with the machine. It is followed by steps that go up slowly, so
	// one that faded towards 0 would mislead for longer than none.
	unitLife = 5 * time.Minute
	// pointLife is a slow interval of the curve: a point older than the curve's length is none.
	pointLife = 2 * time.Second
	// leadHalf and leadLife are for a project's lead over the shard's virtual time. A scheduler forgets an idle one
	// after leadLife.
	leadHalf = 8 * time.Second
	leadLife = 32 * time.Second
	// reserveAhead is how far ahead of now a reservation tag may stand: its second of store.
	reserveAhead = time.Second
)

// Why a snapshot is set aside.
var (
	ErrFuture   = errors.New("it was saved later than now: the clock was set back")
	ErrFront    = errors.New("it is another front's")
	ErrSettings = errors.New("it was learned under other settings")
)

// Current is what a snapshot is held against.
type Current struct {
	At       scheduler.Micros
	Front    string
	Settings uint64
	Fresh    scheduler.NodeStats // what a fresh front assumes of a node
	Nodes    []snapshot.Node
}

// Check tells why a snapshot must not be used at all.
func Check(s snapshot.Snapshot, now Current) error {
	switch {
	case s.Front != now.Front:
		return fmt.Errorf("%w: %q", ErrFront, s.Front)
	case s.Settings != now.Settings:
		return ErrSettings
	case s.Saved > now.At:
		return fmt.Errorf("%w, by %v", ErrFuture, duration(s.Saved-now.At))
	}
	return nil
}

func duration(m scheduler.Micros) time.Duration { return time.Duration(m) * time.Microsecond }

// Decay returns what still counts. older tells that a later snapshot was written and can't be read: what projects
// drew since is unknown then, so their limits' stores start empty.
func Decay(s snapshot.Snapshot, now Current, older bool) scheduler.Learned {
	out := scheduler.Learned{At: now.At}
	age := duration(now.At - s.Saved)
	if age >= horizon {
		return out
	}
	learned := map[string]snapshot.Node{}
	for _, n := range s.Nodes {
		learned[n.Node] = n
	}
	for _, n := range now.Nodes {
		if old, ok := learned[n.Node]; ok {
			out.Nodes = append(out.Nodes, scheduler.LearnedNode{Endpoint: n.Endpoint, NodeStats: decayNode(old, n, now, age)})
		}
	}
	for _, a := range s.Accounts {
		if older || a.Bucket.BoundUntil < now.At {
			a.Bucket.Level, a.Bucket.Lease, a.Bucket.BoundUntil = 0, 0, 0
			a.Bucket.At = now.At
		}
		a.ReservationTag = min(a.ReservationTag, float64(now.At+scheduler.Micros(reserveAhead/time.Microsecond)))
		out.Volumes = append(out.Volumes, a)
	}
	for _, l := range s.Leads {
		if since := duration(now.At - l.LastSend); since >= 0 && since < leadLife {
			l.Units = decay(l.Units, 0, age, leadHalf)
			out.Flows = append(out.Flows, l)
		}
	}
	return out
}

// decayNode is what is left of a node's habits. One that started anew or moved is not the node that was learned.
func decayNode(old, listed snapshot.Node, now Current, age time.Duration) scheduler.NodeStats {
	fresh := now.Fresh
	if old.StartedAt != listed.StartedAt {
		return fresh // the list's own start time has it guarded as cold
	}
	if old.Addr != listed.Addr {
		fresh.SuspectedRestart = now.At
		return fresh
	}
	h := old.NodeStats
	h.Budget = min(fresh.Budget, decay(h.Budget, fresh.Budget, age, speedHalf))
	h.Target = decay(h.Target, fresh.Target, age, speedHalf)
	h.SmoothedLatency, h.PreviousLatency = decay(h.SmoothedLatency, 0, age, speedHalf), decay(h.PreviousLatency, 0, age, speedHalf)
	h.ErrorRate = decay(h.ErrorRate, 0, age, errorHalf)
	if age >= unitLife {
		h.UnitTime = 0
	}
	gone := min(int(age/pointLife), len(h.Curve))
	h.Curve = h.Curve[gone:]
	h.LatencyUpdated, h.LastAnswer, h.SuspectedRestart = min(h.LatencyUpdated, now.At), min(h.LastAnswer, now.At), min(h.SuspectedRestart, now.At)
	return h
}

// decay moves a value towards a fresh one, by half in each half-life.
func decay(v, fresh float64, age, life time.Duration) float64 {
	return fresh + (v-fresh)*math.Exp2(-age.Seconds()/life.Seconds())
}
