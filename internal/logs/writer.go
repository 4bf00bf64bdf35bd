package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queuedLines is how many lines may wait to be written: a burst of them, and not the memory of a log that stands still.
const queuedLines = 512

// Writer writes lines in a goroutine of its own, so that a full pipe or a disk that hangs holds up nobody who logs. A line that
// finds no room, or can't be written, is dropped and counted.
type Writer struct {
	to      io.Writer
	lines   chan []byte
	flushes chan chan struct{}
	dropped atomic.Int64

	mu       sync.Mutex
	announce func(dropped int64) // writes how many lines were dropped since the last one
}

// NewWriter returns a writer ahead of another one. Its goroutine lasts as long as the process.
func NewWriter(to io.Writer) *Writer {
	w := &Writer{to: to, lines: make(chan []byte, queuedLines), flushes: make(chan chan struct{})}
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

// Dropped tells how many lines were not written since the process started.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Flush waits until all lines queued before are written, no longer than most.
func (w *Writer) Flush(most time.Duration) {
	timeout := time.NewTimer(most)
	defer timeout.Stop()
	done := make(chan struct{})
	select {
	case w.flushes <- done:
	case <-timeout.C:
		return
	}
	select {
	case <-done:
	case <-timeout.C:
	}
}

// onDropped sets what announces dropped lines.
func (w *Writer) onDropped(announce func(dropped int64)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.announce = announce
}

func (w *Writer) run() {
	var told int64
	for {
		select {
		case line := <-w.lines:
			told = w.write(line, told)
		case done := <-w.flushes:
			for waiting := len(w.lines); waiting > 0; waiting-- {
				told = w.write(<-w.lines, told)
			}
			close(done)
		}
	}
}

// write writes a line, ahead of it how many were dropped since told, and returns the number told now.
func (w *Writer) write(line []byte, told int64) int64 {
	w.mu.Lock()
	announce := w.announce
	w.mu.Unlock()
	if dropped := w.dropped.Load(); dropped > told && announce != nil {
		announce(dropped - told)
		told = dropped
	}
	if _, err := w.to.Write(line); err != nil {
		w.dropped.Add(1)
	}
	return told
}
