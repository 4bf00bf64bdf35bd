package audit

import (
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// validRecord returns a run without a violation: a request, its attempt, SIGTERM and SIGKILL.
func validRecord() *Record {
	r := &Record{Window: time.Second, MemoryLimit: 192 << 20}
	r.AddProcess(Process{Name: "n0", TermAt: 2000 * ms, KillDue: 3700 * ms, KilledAt: 3700 * ms})
	r.AddRequest(Request{ID: "a", Idempotency: Once, Sent: 2900 * ms, Wait: 500 * ms, Ending: Answered, Ended: 3000 * ms, Status: 200})
	r.AddAttempt(Attempt{ID: "a", Node: "s", FirstByte: 2910 * ms, LastByte: 2915 * ms, Ended: 2990 * ms, TimeLeft: 400 * ms})
	return r
}

// Each violation of a rule is reported, and permitted behavior is not.
func TestCheckReportsViolations(t *testing.T) {
	for _, c := range []struct {
		name string
		edit func(r *Record)
		want []string
	}{
		{"nothing", func(*Record) {}, nil},
		{"no answer at SIGKILL", func(r *Record) { r.Requests[0].Ending, r.Requests[0].Ended = Open, 3700*ms }, []string{Lost}},
		{"no answer at SIGKILL, sent soon after SIGTERM", func(r *Record) {
			x := &r.Requests[0]
			x.Sent, x.Wait, x.Ending, x.Ended = 2600*ms, 1000*ms, Open, 3700*ms
			r.Attempts = nil
		}, nil},
		{"answer too late", func(r *Record) { r.Requests[0].Ended = 4000 * ms }, []string{Lost}},
		{"answer too late, process stalled", func(r *Record) {
			r.Requests[0].Ended = 4000 * ms
			r.Processes[0].Stalls = []Span{{3000 * ms, 3150 * ms}}
		}, nil},
		{"closed after an attempt", func(r *Record) { r.Requests[0].Ending = Closed }, []string{Lost}},
		{"closed while the request was on its way", func(r *Record) { r.Requests[0].Ending, r.Attempts = Closed, nil }, nil},
		{"closed long after the request was sent", func(r *Record) {
			r.Requests[0].Ending, r.Requests[0].Ended, r.Attempts = Closed, 3300*ms, nil
		}, []string{Lost}},
		{"executed twice", func(r *Record) {
			r.AddAttempt(Attempt{ID: "a", Node: "t", FirstByte: 2995 * ms, LastByte: 2996 * ms, Ended: 2999 * ms, TimeLeft: -1})
		}, []string{Duplicate}},
		{"repeated within the deduplication window", func(r *Record) {
			r.Requests[0].Idempotency = Keyed
			r.AddAttempt(Attempt{ID: "a", Node: "t", FirstByte: 2995 * ms, LastByte: 2996 * ms, Ended: 2999 * ms, TimeLeft: -1})
		}, nil},
		{"repeated after the deduplication window", func(r *Record) {
			r.Requests[0].Idempotency, r.Window = Keyed, 10*ms
			r.AddAttempt(Attempt{ID: "a", Node: "t", FirstByte: 2995 * ms, LastByte: 2996 * ms, Ended: 2999 * ms, TimeLeft: -1})
		}, []string{Duplicate}},
		{"two attempts at once", func(r *Record) {
			r.Requests[0].Idempotency = Repeatable
			r.AddAttempt(Attempt{ID: "a", Node: "t", FirstByte: 2950 * ms, LastByte: 2951 * ms, Ended: 2999 * ms, TimeLeft: -1})
		}, []string{Duplicate}},
		{"rejected by the first node", func(r *Record) {
			r.AddAttempt(Attempt{ID: "a", Node: "t", FirstByte: 2901 * ms, LastByte: 2902 * ms, Ended: 2903 * ms, TimeLeft: -1, Rejected: true})
		}, nil},
		{"rejected after execution", func(r *Record) { r.Requests[0].Status = 503 }, []string{RejectedAfterExecution}},
		{"attempt received after the deadline", func(r *Record) {
			r.Attempts[0].FirstByte, r.Attempts[0].LastByte, r.Attempts[0].TimeLeft = 3510*ms, 3510*ms, -1
		}, []string{LateAttempt}},
		{"attempt received as the client leaves", func(r *Record) {
			r.Attempts[0].FirstByte, r.Attempts[0].LastByte, r.Attempts[0].TimeLeft = 3490*ms, 3490*ms, -1
		}, nil},
		{"attempt received after the deadline, process stalled before the end of a long body", func(r *Record) {
			r.Requests[0].Long = true
			r.Attempts[0].LastByte, r.Processes[0].Stalls = 3530*ms, []Span{{3350 * ms, 3500 * ms}}
		}, nil},
		{"attempt received after the client left", func(r *Record) { r.Requests[0].Ending, r.Requests[0].Ended = Left, 2800*ms }, []string{Lost}},
		{"announced too much time", func(r *Record) { r.Attempts[0].TimeLeft = 700 * ms }, []string{ExcessTimeLeft}},
		{"sent to a draining node", func(r *Record) { r.AddDrain(Drain{Node: "s", AnnouncedAt: 2300 * ms}) }, []string{SentToDraining}},
		{"sent within the drain grace", func(r *Record) { r.AddDrain(Drain{Node: "s", AnnouncedAt: 2400 * ms}) }, nil},
		{"memory at the limit", func(r *Record) { r.Processes[0].PeakMemory = 192 << 20 }, nil},
		{"memory above the limit", func(r *Record) { r.Processes[0].PeakMemory = 192<<20 + 1 }, []string{Memory}},
		{"crash", func(r *Record) { r.Processes[0].Crashed = true }, []string{Crash}},
		{"violation counted by the front", func(r *Record) { r.Processes[0].CountedViolations = 1 }, []string{CountedByFront}},
		{"incomplete request kept open", func(r *Record) {
			r.AddBadClient(BadClient{Began: 100 * ms, Ended: 3300 * ms})
		}, []string{IncompleteRequest}},
		{"incomplete request closed in time", func(r *Record) { r.AddBadClient(BadClient{Began: 100 * ms, Ended: 2600 * ms}) }, nil},
	} {
		r := validRecord()
		c.edit(r)
		var got []string
		for _, v := range Check(r) {
			got = append(got, v.Rule)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
