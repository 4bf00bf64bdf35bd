package program

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// levelVariable is the environment variable with the platform's log level: debug, info (the default), warn or error.
const levelVariable = "RELAY_LOG_LEVEL"

// flushTimeout is how long the program waits at its end for its last log lines to be written.
const flushTimeout = 100 * time.Millisecond

// notifyShutdown returns a channel that delivers the time of the first SIGTERM or SIGINT. It must be called before any
// other work: the time until SIGKILL starts at the signal, whatever the program is doing then.
func notifyShutdown() <-chan time.Time {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	times := make(chan time.Time, 1)
	go func() {
		<-signals
		times <- time.Now()
	}()
	return times
}

// ignoreClosedLog ignores SIGPIPE, so that a write to a closed standard output or error fails instead of ending the program.
func ignoreClosedLog() { signal.Ignore(syscall.SIGPIPE) }

// notifyReload returns a channel that delivers SIGHUP. It is registered for the whole life of the process, since SIGHUP
// would otherwise end the program, also during a shutdown.
func notifyReload() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// logLevel returns the log level that the environment sets.
func logLevel() (slog.Level, error) {
	level := slog.LevelInfo
	if text := os.Getenv(levelVariable); text != "" {
		if err := level.UnmarshalText([]byte(text)); err != nil {
			return level, configurationError{fmt.Errorf("%s: %q is not a log level", levelVariable, text)}
		}
	}
	return level, nil
}
