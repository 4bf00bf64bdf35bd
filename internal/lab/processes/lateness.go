package processes

import (
	"sync/atomic"
	"time"
)

const (
	lateTick = 5 * time.Millisecond
	// lateMost is the largest acceptable lateness of this process in a run that is compared with virtual time: half of the
	// interval between the first probes of a silent node.
	lateMost = 100 * time.Millisecond
)

// lateness measures how late the measuring process woke up at most. The stand-ins run in this process: on a busy machine
// nodes answer late by as much, which fronts take for node failures.
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

// end stops the measurement and returns the largest lateness.
func (l *lateness) end() time.Duration {
	close(l.done)
	return time.Duration(l.most.Load())
}
