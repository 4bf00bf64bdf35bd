package routing

import (
	"slices"
	"sync"
)

// Ending is how a request ended.
type Ending int

// The kinds of Ending.
const (
	Served Ending = iota
	Rejected
	Failed
	endingKinds
)

// Tally counts requests by how they ended.
type Tally struct {
	Open, ClientsLeft int64
	EndedByShutdown   int64                // requests that were open as all had to be answered
	EndedOverdue      int64                // requests whose attempt or verdict did not come in time
	ByClass           [][endingKinds]int64 // by the class's index, then by Ending; shorter where the last ones had none
}

// Sum counts over all classes.
func (t Tally) Sum(e Ending) (n int64) {
	for _, c := range t.ByClass {
		n += c[e]
	}
	return n
}

// Class counts the endings of one class.
func (t Tally) Class(class int) (n [endingKinds]int64) {
	if class < len(t.ByClass) {
		return t.ByClass[class]
	}
	return n
}

// counters is a Tally that many goroutines write.
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

func (c *counters) countGivenUp(why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if why == endedByShutdown {
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

// Tally tells how many requests are open and how the others ended.
func (c *Core) Tally() Tally {
	c.counters.mu.Lock()
	defer c.counters.mu.Unlock()
	t := c.counters.tally
	t.ByClass = slices.Clone(t.ByClass)
	return t
}

// CountRejected counts a request that was refused ahead of the scheduler, for want of room.
func (c *Core) CountRejected(class int) { c.counters.countEnding(class, Rejected) }

// HoldOpen keeps a request open past its final answer's head, while its body is passed on. The returned function ends it.
func (c *Core) HoldOpen() (end func()) {
	c.counters.addOpen(1)
	return sync.OnceFunc(func() { c.counters.addOpen(-1) })
}
