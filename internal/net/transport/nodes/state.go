package nodes

import (
	"cmp"
	"slices"
	"time"

	"otterturn/internal/limits"
	"otterturn/scheduler"
)

// States returns the nodes, sorted by name.
func (p *Pool[T]) States() []State {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []State
	for _, n := range p.byName {
		out = append(out, State{Host: n.Host, Idle: len(n.idle)})
	}
	slices.SortFunc(out, func(a, b State) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

// Running reports whether a node in this state may get new requests.
func Running(state scheduler.NodeState) bool { return state == scheduler.Running }

// AnyState returns true for every state. Health checks use it, as they apply to nodes in any state.
func AnyState(scheduler.NodeState) bool { return true }

// Reconfigure applies a new idle timeout, also to connections that are already idle.
func (p *Pool[T]) Reconfigure(l limits.NodeLimits) { p.idle.Store(int64(l.IdleTimeout)) }

func (p *Pool[T]) idleTimeout() time.Duration { return time.Duration(p.idle.Load()) }
