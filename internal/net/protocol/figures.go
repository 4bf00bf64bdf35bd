package protocol

import (
	"fmt"
	"strings"
)

// figurePrefix stands before the name of each figure.
const figurePrefix = "svc."

// Ended counts a class's requests by how they ended, since the process started.
type Ended struct {
	Class                   string
	Served, Refused, Failed int64
}

// Figures are what operators are told of a process. Counts are since it started.
type Figures struct {
	Classes       []Ended
	Attempts      int64 // written whole to nodes
	InFlight      int64 // requests taken and not over
	Known         int   // nodes on the list
	Excluded      int   // of these, those that get nothing now, by hand or by choice
	ReloadsOK     int64
	ReloadsFailed int64
	Rules         RuleFigures
	Health        *HealthFigures // nil where fronts don't share the health of nodes: there are no lines of it then
}

// RuleFigures tell of the process's own checks on what it may do, and when.
type RuleFigures struct {
	Operations      []RuleCount
	EndedByShutdown int64 // requests that were open as all had to be answered
	EndedOverdue    int64 // requests whose attempt did not end in time
	AcceptErrors    int64
	LogLinesDropped int64
}

// RuleCount is how often an operation was denied, and carried out against the rules.
type RuleCount struct {
	Operation          string
	Denied, Violations int64
}

// HealthFigures are what operators are told of the zone's shared health of nodes.
type HealthFigures struct {
	Probes           int64 // sent to nodes
	MessagesSent     int64 // to other fronts
	BytesSent        int64 // in these
	MessagesReceived int64 // that were taken in
	Dropped          int64 // messages or entries of them that were not
	Shed             int64 // entries that were not sent for want of bytes
	Lost             int64 // observations that there was no room for
	Condemned        int   // nodes that this front avoids by its zone's verdict
}

// FormatFigures writes figures, one a line: name, value, and 'c' for a count or 'g' for what goes up and down.
func FormatFigures(f Figures) string {
	var out strings.Builder
	line := func(kind, name string, value int64) {
		fmt.Fprintf(&out, "%s%s:%d|%s\n", figurePrefix, name, value, kind)
	}
	for _, c := range f.Classes {
		line("c", "served."+c.Class, c.Served)
		line("c", "refused."+c.Class, c.Refused)
		line("c", "failed."+c.Class, c.Failed)
	}
	line("c", "attempts", f.Attempts)
	line("g", "in_flight", f.InFlight)
	line("g", "chunk_servers_known", int64(f.Known))
	line("g", "chunk_servers_excluded", int64(f.Excluded))
	line("c", "reloads_ok", f.ReloadsOK)
	line("c", "reloads_failed", f.ReloadsFailed)
	f.Rules.format(line)
	if h := f.Health; h != nil {
		line("c", "health.probes", h.Probes)
		line("c", "health.messages_sent", h.MessagesSent)
		line("c", "health.bytes_sent", h.BytesSent)
		line("c", "health.messages_received", h.MessagesReceived)
		line("c", "health.dropped", h.Dropped)
		line("c", "health.shed", h.Shed)
		line("c", "health.lost", h.Lost)
		line("g", "health.condemned", int64(h.Condemned))
	}
	return out.String()
}

// format writes the sums over all operations, and the operations that have any.
func (r RuleFigures) format(line func(kind, name string, value int64)) {
	var denied, violations int64
	for _, c := range r.Operations {
		denied += c.Denied
		violations += c.Violations
	}
	line("c", "denied", denied)
	line("c", "violations", violations)
	for _, c := range r.Operations {
		if c.Denied > 0 {
			line("c", "denied."+c.Operation, c.Denied)
		}
		if c.Violations > 0 {
			line("c", "violations."+c.Operation, c.Violations)
		}
	}
	line("c", "ended_by_shutdown", r.EndedByShutdown)
	line("c", "ended_overdue", r.EndedOverdue)
	line("c", "accept_errors", r.AcceptErrors)
	line("c", "log_lines_dropped", r.LogLinesDropped)
}
