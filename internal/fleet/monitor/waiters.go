package monitor

import (
	"slices"
	"sync"

	"otterturn/scheduler"
)

// waiters are the calls of Probe that wait for an answer, by node. Each call leaves by itself.
type waiters struct {
	mu     sync.Mutex
	byNode map[string][]chan scheduler.HealthChecked
}

// enter adds a call, which is answered over the channel.
func (w *waiters) enter(node string) chan scheduler.HealthChecked {
	answer := make(chan scheduler.HealthChecked, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byNode == nil {
		w.byNode = map[string][]chan scheduler.HealthChecked{}
	}
	w.byNode[node] = append(w.byNode[node], answer)
	return answer
}

// answer answers all calls that wait for a node: what was asked again in the meantime is told the same.
func (w *waiters) answer(p scheduler.HealthChecked) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.byNode[p.Node] {
		c <- p
	}
	delete(w.byNode, p.Node)
}

// leave takes a call out that waits no more.
func (w *waiters) leave(node string, answer chan scheduler.HealthChecked) {
	w.mu.Lock()
	defer w.mu.Unlock()
	left := slices.DeleteFunc(w.byNode[node], func(c chan scheduler.HealthChecked) bool { return c == answer })
	if w.byNode[node] = left; len(left) == 0 {
		delete(w.byNode, node)
	}
}
