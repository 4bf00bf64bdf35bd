package routing

import (
	"slices"
	"sync"
)

// Ending is the way in which a request ended.
type Ending int

// The kinds of Ending.
const (
	Served Ending = iota
	Rejected
	Failed
	endingKinds
)

// Tally counts requests by the way in which they ended.
type Tally struct {
	Open, ClientsLeft int64
	EndedByShutdown   int64                // open requests that a shutdown had to answer
	EndedOverdue      int64                // requests without an outcome or final action in time
	ByClass           [][endingKinds]int64 // indexed by class, then by Ending; classes after the last counted one are missing
}

// Sum returns the number of requests with an ending, over all classes.
func (t Tally) Sum(e Ending) (n int64) {
	for _, c := range t.ByClass {
		n += c[e]
	}
	return n
}

// Class returns the counts of one class, indexed by Ending.
func (t Tally) Class(class int) (n [endingKinds]int64) {
	if class < len(t.ByClass) {
		return t.ByClass[class]
	}
	return n
}

// counters is a Tally for concurrent use.
type counters struct {
	mu    sync.Mutex
	tally Tally
}

func (c *counters) countEnding(class int, e Ending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for class >= len(c.tally.ByClass) {
		c.tally.ByClass = append(c.tally.ByClass, [endingKinds]int64{})
	}
	c.tally.ByClass[max(class, 0)][e]++
}

func (c *counters) countGivenUp(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reason == endedByShutdown {
		c.tally.EndedByShutdown++
	} else {
		c.tally.EndedOverdue++
	}
}

func (c *counters) countClientLeft() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.ClientsLeft++
}

func (c *counters) addOpen(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Open += n
}

// Tally returns a copy of the counts.
func (c *Core) Tally() Tally {
	c.counters.mu.Lock()
	defer c.counters.mu.Unlock()
	t := c.counters.tally
	t.ByClass = slices.Clone(t.ByClass)
	return t
}

// CountRejected counts a request that was rejected before it reached the scheduler, for lack of capacity.
func (c *Core) CountRejected(class int) { c.counters.countEnding(class, Rejected) }

// HoldOpen counts a request as open after Complete has returned, while the body of its answer is still being sent. The returned
// function ends that.
func (c *Core) HoldOpen() (end func()) {
	c.counters.addOpen(1)
	return sync.OnceFunc(func() { c.counters.addOpen(-1) })
}
