package processes

import (
	"sync/atomic"
	"time"
)

const (
	latenessInterval = 5 * time.Millisecond
	// maxLateness is the largest acceptable lateness of this process in a run that is compared with virtual time: half of the
	// interval between the first probes of a silent node.
	maxLateness = 100 * time.Millisecond
)

// lateness measures how late the measuring process woke up at most. The stand-ins run in this process: on a busy machine
// nodes answer late by as much, which fronts take for node failures.
type lateness struct {
	longest atomic.Int64
	done    chan struct{}
}

func startLateness() *lateness {
	l := &lateness{done: make(chan struct{})}
	go func() {
		for {
			began := time.Now()
			select {
			case <-l.done:
				return
			case <-time.After(latenessInterval):
			}
			if late := int64(time.Since(began) - latenessInterval); late > l.longest.Load() {
				l.longest.Store(late)
			}
		}
	}()
	return l
}

// stop stops the measurement and returns the largest lateness.
func (l *lateness) stop() time.Duration {
	close(l.done)
	return time.Duration(l.longest.Load())
}
