package protocol

import (
	"fmt"
	"strings"
)

// metricPrefix is the prefix of all metric names.
const metricPrefix = "svc."

// ClassCounts counts a class's requests by result since the process started.
type ClassCounts struct {
	Class                    string
	Served, Rejected, Failed int64
}

// Metrics are the metrics of a process. Counters start at 0 when the process starts.
type Metrics struct {
	Classes       []ClassCounts
	Attempts      int64 // requests written completely to nodes, retries included
	InFlight      int64 // requests accepted and not finished
	Known         int   // nodes on the endpoint list
	Excluded      int   // of these, nodes that get no requests now, because an operator or the scheduler excluded them
	ReloadsOK     int64
	ReloadsFailed int64
	Rules         RuleMetrics
	Resources     ResourceMetrics
	Health        *HealthMetrics // nil if fronts don't share node health; its lines are omitted then
}

// RuleMetrics are the metrics of the rules of package lifecycle, which decide whether an operation is allowed at a time.
type RuleMetrics struct {
	Operations      []RuleCount
	EndedByShutdown int64 // requests that were still open in a shutdown when all had to be answered
	EndedOverdue    int64 // requests whose attempt had not ended by its deadline
	AcceptErrors    int64
	LogLinesDropped int64
}

// ResourceMetrics are the metrics of what clients hold.
type ResourceMetrics struct {
	Evictions     []EvictionCount
	RejectedHeads int64 // heads of requests that were invalid, too large or found no memory
	MemoryUsed    int64 // bytes reserved for bodies, answers and other things without a fixed size
	MemorySize    int64 // bytes that may be reserved
}

// EvictionCount counts how often a connection was asked to close for a reason.
type EvictionCount struct {
	Reason string
	Count  int64
}

// RuleCount counts how often an operation was denied and how often it was done in violation of the rules.
type RuleCount struct {
	Operation          string
	Denied, Violations int64
}

// HealthMetrics are the metrics of the node health that the fronts of a zone share.
type HealthMetrics struct {
	Probes           int64 // sent to nodes
	MessagesSent     int64 // to other fronts
	BytesSent        int64 // in these messages
	MessagesReceived int64 // messages that were accepted
	Dropped          int64 // messages, or entries of messages, that were not accepted
	Shed             int64 // entries not sent because the bandwidth limit was reached
	Lost             int64 // observations discarded for lack of room
	Avoided          int   // nodes that this front avoids because of its zone's verdict
}

// FormatMetrics writes the metrics, one per line: name, value, and 'c' for a counter or 'g' for a gauge.
func FormatMetrics(f Metrics) string {
	var out strings.Builder
	line := func(kind, name string, value int64) {
		fmt.Fprintf(&out, "%s%s:%d|%s\n", metricPrefix, name, value, kind)
	}
	for _, c := range f.Classes {
		line("c", "served."+c.Class, c.Served)
		line("c", "refused."+c.Class, c.Rejected)
		line("c", "failed."+c.Class, c.Failed)
	}
	line("c", "attempts", f.Attempts)
	line("g", "in_flight", f.InFlight)
	line("g", "chunk_servers_known", int64(f.Known))
	line("g", "chunk_servers_excluded", int64(f.Excluded))
	line("c", "reloads_ok", f.ReloadsOK)
	line("c", "reloads_failed", f.ReloadsFailed)
	f.Resources.format(line)
	f.Rules.format(line)
	if h := f.Health; h != nil {
		line("c", "health.probes", h.Probes)
		line("c", "health.messages_sent", h.MessagesSent)
		line("c", "health.bytes_sent", h.BytesSent)
		line("c", "health.messages_received", h.MessagesReceived)
		line("c", "health.dropped", h.Dropped)
		line("c", "health.shed", h.Shed)
		line("c", "health.lost", h.Lost)
		line("g", "health.condemned", int64(h.Avoided))
	}
	return out.String()
}

// format writes the totals over all operations, then each operation with a count above 0.
func (r RuleMetrics) format(line func(kind, name string, value int64)) {
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

// format writes each reason with a count above 0, and the rest.
func (r ResourceMetrics) format(line func(kind, name string, value int64)) {
	for _, e := range r.Evictions {
		if e.Count > 0 {
			line("c", "evicted."+e.Reason, e.Count)
		}
	}
	line("c", "heads_rejected", r.RejectedHeads)
	line("g", "memory_used_bytes", r.MemoryUsed)
	line("g", "memory_size_bytes", r.MemorySize)
}
