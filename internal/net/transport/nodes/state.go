package nodes

import (
	"cmp"
	"slices"
	"time"

	"otterturn/internal/limits"
	"otterturn/scheduler"
)

// States lists the nodes by name.
func (s *Pool[T]) States() []State {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []State
	for _, n := range s.byName {
		out = append(out, State{Host: n.Host, Idle: len(n.idle)})
	}
	slices.SortFunc(out, func(a, b State) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

// Running is the condition under which a node gets new work.
func Running(state scheduler.NodeState) bool { return state == scheduler.Running }

// AnyState is the condition for probes.
func AnyState(scheduler.NodeState) bool { return true }

// Reconfigure has connections be idle no longer than other settings allow, those that are idle already too.
func (s *Pool[T]) Reconfigure(l limits.NodeLimits) { s.idle.Store(int64(l.IdleTimeout)) }

func (s *Pool[T]) idleTimeout() time.Duration { return time.Duration(s.idle.Load()) }
