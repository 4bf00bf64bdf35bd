package scenario

import (
	"fmt"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"otterturn/internal/lab/world"
)

// Result is how a day went.
type Result struct {
	Seed     uint64
	Asked    float64        // worth
	Served   float64        // of it, in time
	Worst    float64        // share served in time in the worst 10 s
	Ended    map[string]int // requests, by verdict
	Fallen   int            // nodes that were pushed over
	Breaks   []string
	Requests int
	Digest   string // of how every request ended and when; the same day has the same one
	Seconds  []Second
	Latency  []*hdrhistogram.Histogram `json:"-"` // of answers, by kind, in microseconds since they were meant to be sent
	Traces   []Trace                   `json:"-"`
}

// Second is one second's worth.
type Second struct{ Asked, Served float64 }

// Share is the worth served in time of that asked for.
func (r Result) Share() float64 { return r.Served / r.Asked }

// worstSpan is the length in seconds of the worst stretch that is told.
const worstSpan = 10

// mostLatency is the longest latency that the histograms tell, in microseconds.
const mostLatency = 60_000_000

// judge adds up what was served in time, from the first second on, and what broke a rule.
func (d Day) judge(traces *traces) Result {
	w := d.World
	r := Result{
		Seed: d.seed, Ended: map[string]int{}, Fallen: w.Audit.Fallen(), Breaks: w.Audit.Breaks,
		Seconds: make([]Second, 1+micros(d.Length)/second),
	}
	for range d.mix.Kinds {
		r.Latency = append(r.Latency, hdrhistogram.New(1, mostLatency, 3))
	}
	digest := xxhash.New()
	for _, q := range d.requests {
		end := w.Ended(q.ID)
		fmt.Fprintln(digest, q.ID, end.Verdict, end.After)
		if q.At < second {
			continue
		}
		worth := w.Set.Classes[q.Class].Priority * q.Units
		r.Ended[end.String()]++
		r.Requests++
		r.Asked += worth
		at := &r.Seconds[q.At/second]
		at.Asked += worth
		if end.Verdict == world.Served {
			r.Served += worth
			at.Served += worth
		}
		if end.Verdict == world.Served || end.Verdict == world.Late {
			r.Latency[q.Class].RecordValue(min(int64(end.After), mostLatency))
		}
	}
	r.Digest = fmt.Sprintf("%016x", digest.Sum64())
	r.Worst = worst(r.Seconds)
	missing := w.Audit.Unanswered()
	slices.Sort(missing)
	for _, id := range missing {
		r.Breaks = append(r.Breaks, fmt.Sprintf("request %s has no final answer", id))
	}
	r.Traces = traces.all()
	return r
}

// worst is the lowest share served in time in a stretch of worstSpan.
func worst(seconds []Second) float64 {
	least := 1.0
	for from := 1; from < len(seconds); from += worstSpan {
		var sum Second
		for _, s := range seconds[from:min(from+worstSpan, len(seconds))] {
			sum.Asked, sum.Served = sum.Asked+s.Asked, sum.Served+s.Served
		}
		if sum.Asked > 0 {
			least = min(least, sum.Served/sum.Asked)
		}
	}
	return least
}

// kept tells whether no rule was broken and no node pushed over.
func (r Result) kept() bool { return r.Fallen == 0 && len(r.Breaks) == 0 }
