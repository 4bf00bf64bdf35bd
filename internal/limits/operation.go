package limits

import "time"

// A front counts as knowing what its own discovery agent knows. The agent answers at once and at no cost, or not at all while
// discovery is down. So an unanswered watch has to be given up, and the next one begun, within the drain grace less one stall
// of the front. That time has agentParts equal parts: WatchHold and AnswerTimeout take one each, and the longest pause, which is
// one and a half times RetryMax, takes one and a half. The remaining half of a part is a margin.
const (
	agentParts    = 4
	minDrainGrace = 250 * time.Millisecond // the drain grace counts as at least this, and at most maxDrainGrace
	maxDrainGrace = 2 * time.Second
)

// Limits for one discovery that all fronts share. When 80 fronts began their watches together, it answered one first watch per
// 30 ms; its rate for later watches was not observed. The limits use half of that rate, as far as the time allows: a front
// counts as informed 6 s after a change and 4 s after SIGHUP, whether or not it received an answer. In the worst case, a change is
// received after a watch without an answer, or a failed call, and the pause before the next call.
const (
	sharedSpreadPerFront = 60 * time.Millisecond
	sharedMaxSpread      = 3 * time.Second         // first watches begin within this for any number of fronts
	sharedWatchHold      = 2 * time.Second         // a watch without changes is renewed at this interval
	sharedAnswerTimeout  = 2 * time.Second         // a first watch may wait in the queue of discovery for this
	sharedRetryMax       = 1300 * time.Millisecond // a pause lasts at most one and a half times this
)

const (
	minListBytes = 1 << 20 // a list of 2,000 nodes takes 400 KiB, and twice that while it is parsed
	watchRetry   = 50 * time.Millisecond
)

func discoveryLimits(site Site, available resources) DiscoveryLimits {
	part := (min(max(site.DrainGrace, minDrainGrace), maxDrainGrace) - maxStall) / agentParts
	out := DiscoveryLimits{
		ListBytes:     listBytes(available.runtime),
		WatchHold:     part,
		AnswerTimeout: part,
		RetryMin:      watchRetry,
		RetryMax:      part,
		StartSpread:   min(time.Duration(site.DiscoveryFronts)*sharedSpreadPerFront, sharedMaxSpread),
	}
	if site.DiscoveryFronts > 0 {
		out.WatchHold = sharedWatchHold
		out.AnswerTimeout = sharedAnswerTimeout
		out.RetryMax = sharedRetryMax
	}
	return out
}

// After SIGTERM a process is killed no earlier than after its longest deadline, or stopMaxDeadline if that is shorter, plus
// stopExtra. Within that time, one stall may delay the handling of SIGTERM, and another one an answer.
const (
	stopMaxDeadline     = 3 * time.Second
	stopExtra           = 700 * time.Millisecond
	maxStall            = 150 * time.Millisecond           // longest stall of a process between reading its clock and a write
	stopAnswerMargin    = 2*maxStall + stopWriteTime       // all requests are answered this long before the kill
	stopWriteTime       = 50 * time.Millisecond            // for writing the answers that are due at the same time
	stopServeMargin     = stopAnswerMargin + stopCloseTime // connections bring no more requests this long before the kill
	stopCloseTime       = 150 * time.Millisecond           // for closing idle connections, and for requests already in transit
	stopMinTime         = 20 * time.Millisecond            // a request with less time is rejected, as no node answers so fast
	stopAccept          = 500 * time.Millisecond
	stopExitExtra       = 2 * time.Second // beyond the longest deadline
	stopConnsPerRequest = 2
	stopCheckInterval   = 50 * time.Millisecond
	handoverTimeout     = 2 * time.Second
)

// NewStopLimits computes the limits of a graceful shutdown. maxDeadline is the longest deadline of any class.
func NewStopLimits(maxDeadline time.Duration) StopLimits {
	kill := min(maxDeadline, stopMaxDeadline) + stopExtra
	return StopLimits{
		Accept:          min(stopAccept, kill-stopServeMargin),
		Serve:           kill - stopServeMargin,
		Answer:          kill - stopAnswerMargin,
		Kill:            kill,
		Exit:            maxDeadline + stopExitExtra,
		MinTime:         stopMinTime,
		MaxStall:        maxStall,
		ConnsPerRequest: stopConnsPerRequest,
		CheckInterval:   stopCheckInterval,
		HandoverTimeout: handoverTimeout,
	}
}

// Strictest returns the limits with the earlier end of each phase.
func (l StopLimits) Strictest(other StopLimits) StopLimits {
	l.Accept = min(l.Accept, other.Accept)
	l.Serve = min(l.Serve, other.Serve)
	l.Answer = min(l.Answer, other.Answer)
	l.Kill = min(l.Kill, other.Kill)
	l.Exit = min(l.Exit, other.Exit)
	return l
}

const (
	controlConns         = 16
	controlCallTimeout   = 5 * time.Second
	controlBodyBytes     = 4 << 10
	controlReportTimeout = 700 * time.Millisecond
)

func controlLimits() ControlLimits {
	return ControlLimits{
		Conns:         controlConns,
		CallTimeout:   controlCallTimeout,
		BodyBytes:     controlBodyBytes,
		ReportTimeout: controlReportTimeout,
	}
}
