package monitor

import (
	"slices"
	"sync"

	"otterturn/scheduler"
)

// waiters holds the calls of Probe that wait for an answer, by node. A call that gives up removes itself.
type waiters struct {
	mu     sync.Mutex
	byNode map[string][]chan scheduler.HealthChecked
}

// add adds a call and returns the channel for its answer.
func (w *waiters) add(node string) chan scheduler.HealthChecked {
	answer := make(chan scheduler.HealthChecked, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byNode == nil {
		w.byNode = map[string][]chan scheduler.HealthChecked{}
	}
	w.byNode[node] = append(w.byNode[node], answer)
	return answer
}

// answer passes a result to all calls that wait for the node.
func (w *waiters) answer(p scheduler.HealthChecked) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.byNode[p.Node] {
		c <- p
	}
	delete(w.byNode, p.Node)
}

// remove removes a call that no longer waits.
func (w *waiters) remove(node string, answer chan scheduler.HealthChecked) {
	w.mu.Lock()
	defer w.mu.Unlock()
	left := slices.DeleteFunc(w.byNode[node], func(c chan scheduler.HealthChecked) bool { return c == answer })
	if w.byNode[node] = left; len(left) == 0 {
		delete(w.byNode, node)
	}
}
