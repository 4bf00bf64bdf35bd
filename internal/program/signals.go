package program

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// levelVariable names the lowest level of lines that the platform's front logs: debug, info, warn or error; info without it.
const levelVariable = "RELAY_LOG_LEVEL"

// flushTimeout is how long the end of the program may wait for its last log lines.
const flushTimeout = 100 * time.Millisecond

// notifyShutdown delivers the moment of the first SIGTERM or interrupt. It is to be called first of all: whatever the program does
// when the signal comes, the time until SIGKILL runs from then.
func notifyShutdown() <-chan time.Time {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	began := make(chan time.Time, 1)
	go func() {
		<-signals
		began <- time.Now()
	}()
	return began
}

// ignoreClosedLog has a write to standard output or error fail where nobody reads it any more, in the place of ending the program.
func ignoreClosedLog() { signal.Ignore(syscall.SIGPIPE) }

// notifyReload delivers SIGHUP, which would end the program, from here to its end: one may come while it stops.
func notifyReload() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// logLevel reads the level of the environment.
func logLevel() (slog.Level, error) {
	level := slog.LevelInfo
	if text := os.Getenv(levelVariable); text != "" {
		if err := level.UnmarshalText([]byte(text)); err != nil {
			return level, misuse{fmt.Errorf("%s: %q is no level", levelVariable, text)}
		}
	}
	return level, nil
}
