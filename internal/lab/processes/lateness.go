package processes

import (
	"sync/atomic"
	"time"
)

const (
	lateTick = 5 * time.Millisecond
	// lateMost is how late this process may wake up at most, in a run that is held against virtual time: half of the interval
	// of a silent node's first probes.
	lateMost = 100 * time.Millisecond
)

// lateness tells how late the measuring process woke up at most, which has the stand-ins: on a busy machine nodes answer as
// much later, and fronts take that for trouble.
type lateness struct {
	most atomic.Int64
	done chan struct{}
}

func watchLateness() *lateness {
	l := &lateness{done: make(chan struct{})}
	go func() {
		for {
			began := time.Now()
			select {
			case <-l.done:
				return
			case <-time.After(lateTick):
			}
			if late := int64(time.Since(began) - lateTick); late > l.most.Load() {
				l.most.Store(late)
			}
		}
	}()
	return l
}

// end stops watching and tells the most.
func (l *lateness) end() time.Duration {
	close(l.done)
	return time.Duration(l.most.Load())
}
