package limits

import "time"

// A front's own agent answers at once and at no cost, or not at all while discovery is down, and what it has counts as
// told: so a call that is not answered is given up, and the next one made, within the time in which a drain has to be
// heeded, less a hold-up of the front. Three of these parts of it are gone then at the latest, and an eighth.
const (
	agentParts    = 4
	minDrainGrace = 250 * time.Millisecond // the grace is reckoned within these bounds
	maxDrainGrace = 2 * time.Second
)

// What one discovery answers, for all fronts that ask it: as 80 fronts began to ask together it answered one watch that
// begins in 30 ms, and nothing was seen of one that goes on. Half of it is left to it, as far as that can be waited for:
// whether it hears of it or not, a front counts as told 6 s behind the news, and 4 s behind SIGHUP. The longest way to news
// is a watch that falls silent, and the pause before the next call, or a call that fails, and that pause.
const (
	sharedSpreadPerFront = 60 * time.Millisecond
	sharedMaxSpread      = 3 * time.Second         // first watches begin within this, whatever the number of fronts
	sharedWatchHold      = 2 * time.Second         // a watch that goes on is asked anew as seldom as this
	sharedAnswerTimeout  = 2 * time.Second         // and one that begins may wait in turn for so long
	sharedRetryMax       = 1300 * time.Millisecond // a pause is one and a half times as long at most
)

const (
	minListBytes = 1 << 20 // 2,000 nodes take 400 KiB, and twice that while they are read
	watchRetry   = 50 * time.Millisecond
)

func discoveryLimits(site Site, got shares) DiscoveryLimits {
	part := (min(max(site.DrainGrace, minDrainGrace), maxDrainGrace) - holdUp) / agentParts
	out := DiscoveryLimits{
		ListBytes:     max(minListBytes, got.memory/memoryFraction),
		WatchHold:     part,
		AnswerTimeout: part,
		RetryMin:      watchRetry,
		RetryMax:      part,
		StartSpread:   min(time.Duration(site.Askers)*sharedSpreadPerFront, sharedMaxSpread),
	}
	if site.Askers > 0 {
		out.WatchHold = sharedWatchHold
		out.AnswerTimeout = sharedAnswerTimeout
		out.RetryMax = sharedRetryMax
	}
	return out
}

// A process is killed after SIGTERM no earlier than its longest deadline, counted as stopMaxDeadline where that is
// longer, and stopExtra. Ahead of that SIGTERM may have been noticed late by one hold-up, and an answer be written late by
// another one.
const (
	stopMaxDeadline     = 3 * time.Second
	stopExtra           = 700 * time.Millisecond
	holdUp              = 150 * time.Millisecond           // a process may stand still so long between its clock and a write
	stopAnswerMargin    = 2*holdUp + stopWriteTime         // before the kill all requests are answered
	stopWriteTime       = 50 * time.Millisecond            // for writing the answers that are due together
	stopServeMargin     = stopAnswerMargin + stopCloseTime // before the kill connections bring no requests any more
	stopCloseTime       = 150 * time.Millisecond           // for ending idle connections, and for what crosses that
	stopMinTime         = 20 * time.Millisecond            // with less a request is rejected, as no node answers in so little
	stopAccept          = 500 * time.Millisecond
	stopAtMostExtra     = 2 * time.Second // beyond the longest deadline
	stopConnsPerRequest = 2
	stopCheckInterval   = 50 * time.Millisecond
	handoverTimeout     = 2 * time.Second
)

// Stop computes the limits of a stop for the longest deadline of any class.
func Stop(longest time.Duration) StopLimits {
	kill := min(longest, stopMaxDeadline) + stopExtra
	return StopLimits{
		Accept:          min(stopAccept, kill-stopServeMargin),
		Serve:           kill - stopServeMargin,
		Answer:          kill - stopAnswerMargin,
		Kill:            kill,
		AtMost:          longest + stopAtMostExtra,
		MinTime:         stopMinTime,
		HoldUp:          holdUp,
		ConnsPerRequest: stopConnsPerRequest,
		CheckInterval:   stopCheckInterval,
		HandoverTimeout: handoverTimeout,
	}
}

// Strictest returns the earlier end of each phase of two stops.
func (l StopLimits) Strictest(other StopLimits) StopLimits {
	l.Accept = min(l.Accept, other.Accept)
	l.Serve = min(l.Serve, other.Serve)
	l.Answer = min(l.Answer, other.Answer)
	l.Kill = min(l.Kill, other.Kill)
	l.AtMost = min(l.AtMost, other.AtMost)
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
