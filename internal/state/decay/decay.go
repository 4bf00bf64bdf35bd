// Package decay decides which parts of a front's saved learned state are still valid. It reads no clock and does no I/O.
//
// Each value decays towards the assumption of a fresh front, with a half-life of its own. Of a snapshot older than
// 10 minutes, only the list of nodes is used.
package decay

import (
	"errors"
	"fmt"
	"math"
	"time"

	"otterturn/internal/state/snapshot"
	"otterturn/scheduler"
)

// Half-lives and lifetimes of learned values.
const (
	// maxAge is the age from which nothing of a snapshot's nodes, volumes and flows is used.
	maxAge = 10 * time.Minute
	// loadHalfLife is the half-life of latencies, targets and budgets: the load on a node changes within minutes.
	loadHalfLife = time.Minute
	// errorHalfLife is the half-life of the error rate: errors usually stop within seconds, or not at all.
	errorHalfLife = 10 * time.Second
	// unitTimeLifetime is the lifetime of the time per unit, which depends on the machine. The estimate rises only slowly, so a
	// value that has decayed towards 0 would be wrong for longer than no value. So it is kept unchanged for this
	// time and then dropped.
	unitTimeLifetime = 5 * time.Minute
	// curvePointInterval is the time between two points of the curve. For each such interval of the snapshot's age, the oldest
	// point is dropped.
	curvePointInterval = 2 * time.Second
	// leadHalfLife and leadLifetime are the half-life and lifetime of a flow's lead over the virtual time of its shard. The
	// scheduler forgets the lead of a flow that has been idle for leadLifetime.
	leadHalfLife = 8 * time.Second
	leadLifetime = 32 * time.Second
	// maxReservationLead is the maximum time between now and a reservation tag: a reservation stores up to one second.
	maxReservationLead = time.Second
)

// Reasons why Check rejects a snapshot.
var (
	ErrFuture   = errors.New("it was saved later than now: the clock was set back")
	ErrFront    = errors.New("it is another front's")
	ErrSettings = errors.New("it was learned under other settings")
)

// Current describes the running front, with which a snapshot is compared.
type Current struct {
	At       scheduler.Micros
	Front    string
	Settings uint64
	Fresh    scheduler.NodeStats // assumptions of a fresh front about a node
	Nodes    []snapshot.Node
}

// Check returns an error if a snapshot must not be used at all.
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

// Decay returns the parts of a snapshot that are still valid. older means that a later snapshot was written but can't be used:
// the units that volumes have drawn since are unknown then, so their token buckets start empty.
func Decay(s snapshot.Snapshot, now Current, older bool) scheduler.Learned {
	out := scheduler.Learned{At: now.At}
	age := duration(now.At - s.Saved)
	if age >= maxAge {
		return out
	}
	nodesByName := map[string]snapshot.Node{}
	for _, n := range s.Nodes {
		nodesByName[n.Node] = n
	}
	for _, n := range now.Nodes {
		if old, ok := nodesByName[n.Node]; ok {
			out.Nodes = append(out.Nodes, scheduler.LearnedNode{Endpoint: n.Endpoint, NodeStats: decayNode(old, n, now, age)})
		}
	}
	for _, a := range s.VolumeUsages {
		if older || a.Bucket.BoundUntil < now.At {
			a.Bucket.Level, a.Bucket.Lease, a.Bucket.BoundUntil = 0, 0, 0
			a.Bucket.At = now.At
		}
		a.ReservationTag = min(a.ReservationTag, float64(now.At+scheduler.Micros(maxReservationLead/time.Microsecond)))
		out.Volumes = append(out.Volumes, a)
	}
	for _, l := range s.FlowLeads {
		if since := duration(now.At - l.LastSend); since >= 0 && since < leadLifetime {
			l.Units = decay(l.Units, 0, age, leadHalfLife)
			out.Flows = append(out.Flows, l)
		}
	}
	return out
}

// decayNode returns the decayed statistics of a node. Those of a node that has restarted or has another address are dropped.
func decayNode(old, listed snapshot.Node, now Current, age time.Duration) scheduler.NodeStats {
	fresh := now.Fresh
	if old.StartedAt != listed.StartedAt {
		return fresh // the scheduler treats the node as cold because of the start time in the list
	}
	if old.Addr != listed.Addr {
		fresh.SuspectedRestart = now.At
		return fresh
	}
	stats := old.NodeStats
	stats.Budget = min(fresh.Budget, decay(stats.Budget, fresh.Budget, age, loadHalfLife))
	stats.Target = decay(stats.Target, fresh.Target, age, loadHalfLife)
	stats.SmoothedLatency, stats.PreviousLatency = decay(stats.SmoothedLatency, 0, age, loadHalfLife),
		decay(stats.PreviousLatency, 0, age, loadHalfLife)
	stats.ErrorRate = decay(stats.ErrorRate, 0, age, errorHalfLife)
	if age >= unitTimeLifetime {
		stats.UnitTime = 0
	}
	dropped := min(int(age/curvePointInterval), len(stats.Curve))
	stats.Curve = stats.Curve[dropped:]
	stats.LatencyUpdated, stats.LastAnswer, stats.SuspectedRestart = min(stats.LatencyUpdated, now.At),
		min(stats.LastAnswer, now.At), min(stats.SuspectedRestart, now.At)
	return stats
}

// decay moves a value towards a fresh one; the difference halves in each half-life.
func decay(v, fresh float64, age, halfLife time.Duration) float64 {
	return fresh + (v-fresh)*math.Exp2(-age.Seconds()/halfLife.Seconds())
}
