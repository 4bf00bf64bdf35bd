package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines is how many lines may wait to be written: enough for a burst, and a bound on memory when the output blocks.
const maxQueuedLines = 512

// Writer writes lines in its own goroutine, so that a full pipe or a hanging disk does not block the goroutines that log.
// Lines that find the queue full or can't be written are dropped and counted.
type Writer struct {
	to      io.Writer
	lines   chan []byte
	flushes chan chan struct{}
	dropped atomic.Int64

	mu            sync.Mutex
	reportDropped func(dropped int64) // logs how many lines were dropped since its last call
}

// NewWriter returns a Writer that writes to another writer. Its goroutine runs until the process ends.
func NewWriter(to io.Writer) *Writer {
	w := &Writer{to: to, lines: make(chan []byte, maxQueuedLines), flushes: make(chan chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the process started.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Flush waits until all lines queued so far are written, or until maxWait has passed.
func (w *Writer) Flush(maxWait time.Duration) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	done := make(chan struct{})
	select {
	case w.flushes <- done:
	case <-timer.C:
		return
	}
	select {
	case <-done:
	case <-timer.C:
	}
}

// onDropped sets the function that logs dropped lines.
func (w *Writer) onDropped(reportDropped func(dropped int64)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reportDropped = reportDropped
}

func (w *Writer) run() {
	var reported int64
	for {
		select {
		case line := <-w.lines:
			reported = w.write(line, reported)
		case done := <-w.flushes:
			for remaining := len(w.lines); remaining > 0; remaining-- {
				reported = w.write(<-w.lines, reported)
			}
			close(done)
		}
	}
}

// write writes a line. If more lines than reported were dropped, it reports the rest first. It returns the
// total reported so far.
func (w *Writer) write(line []byte, reported int64) int64 {
	w.mu.Lock()
	reportDropped := w.reportDropped
	w.mu.Unlock()
	if dropped := w.dropped.Load(); dropped > reported && reportDropped != nil {
		reportDropped(dropped - reported)
		reported = dropped
	}
	if _, err := w.to.Write(line); err != nil {
		w.dropped.Add(1)
	}
	return reported
}
