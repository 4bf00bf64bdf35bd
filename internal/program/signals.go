package program

import (
	"os"
	"os/signal"
	"syscall"
	"time"
)

// flushTimeout is how long the end of the program may wait for its last log lines.
const flushTimeout = 100 * time.Millisecond

// ignoreClosedLog has a write to standard output or error fail where nobody reads it any more, in the place of ending the program.
func ignoreClosedLog() { signal.Ignore(syscall.SIGPIPE) }

// notifyReload delivers SIGHUP, which would end the program, from here to its end: one may come while it stops.
func notifyReload() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}
