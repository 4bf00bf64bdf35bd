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
	Failing
	endings
)

// Tally counts requests by how they ended.
type Tally struct {
	Open, Left int64
	ByClass    [][endings]int64 // by the class's index, then by Ending; shorter where the last ones had none
}

// Sum counts over all classes.
func (t Tally) Sum(e Ending) (n int64) {
	for _, c := range t.ByClass {
		n += c[e]
	}
	return n
}

// Of counts the endings of one class.
func (t Tally) Of(class int) (n [endings]int64) {
	if class < len(t.ByClass) {
		return t.ByClass[class]
	}
	return n
}

// counts is a Tally that many goroutines write.
type counts struct {
	mu    sync.Mutex
	tally Tally
}

func (c *counts) ended(class int, e Ending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for class >= len(c.tally.ByClass) {
		c.tally.ByClass = append(c.tally.ByClass, [endings]int64{})
	}
	c.tally.ByClass[max(class, 0)][e]++
}

func (c *counts) left() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Left++
}

func (c *counts) opened(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Open += n
}

// Tally tells how many requests are open and how the others ended.
func (c *Core) Tally() Tally {
	c.counts.mu.Lock()
	defer c.counts.mu.Unlock()
	t := c.counts.tally
	t.ByClass = slices.Clone(t.ByClass)
	return t
}

// Turned counts a request that was refused ahead of the scheduler, for want of room.
func (c *Core) Turned(class int) { c.counts.ended(class, Rejected) }

// Stay keeps a request open past its final answer's head, while its body is passed on. The returned function ends it.
func (c *Core) Stay() (end func()) {
	c.counts.opened(1)
	return sync.OnceFunc(func() { c.counts.opened(-1) })
}
