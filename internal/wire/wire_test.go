package wire

import (
	"fmt"
	"strings"
	"testing"

	"otterturn/scheduler"
)

const facts = `{"balancers":1,"tickUs":1000,"unknown":[1],"classes":[{"aimUs":400000,"semantics":"retryable","group":"all"}],` +
	`"contracts":[{"shares":1.0}],"familyInfo":{"meanUnits":2.0,"mostUnits":8},"safety":{}}`

const start = "LAUNCH\ti=initiator/0\tseed=7\tfacts=" + facts + "\n" +
	"REGISTER\tbank=0\trows=1\nENTRY\ttarget=t-a\tregionPart=0\ttype=0\tcohort=0\tavailability=Running\n" +
	"PEERS_KNOWN\ti=initiator/0\thow=cached\tindex=1\tbank=0\n"

const job = "JOB_IN\ti=initiator/0\trequestId=rq_x\tgrade=0\tplan=0\tchunk=k\tleftUs=900000\tvol=v\t" +
	"quotaUnits=2\tliesIn=0\tsetSize=1\tnovelty=3\n"

func batch(seq, events string) string {
	return "BEGIN_BATCH\ttimeUs=5000000\tseq=" + seq + "\n" + events + "EOB\n\n"
}

func serve(t *testing.T, in string) (out, log string) {
	t.Helper()
	var o, l strings.Builder
	if err := Serve(strings.NewReader(in), &o, &l); err != nil {
		t.Fatal(err)
	}
	return o.String(), l.String()
}

func TestBatches(t *testing.T) {
	cases := []struct{ name, in, out, log string }{
		{"empty", batch("1", ""), "DONE\tseq=1\n", ""},
		{
			"a request is sent to the node", batch("1", start+job),
			"TRY\ti=initiator/0\trequestId=rq_x\ttarget=t-a\nDONE\tseq=1\n", "",
		},
		{
			"a request without time left is rejected", batch("1", start+strings.Replace(job, "leftUs=900000", "leftUs=0", 1)),
			"SHED\ti=initiator/0\trequestId=rq_x\tcomeBackUs=0\nDONE\tseq=1\n", "",
		},
		{"instance crashes in the same batch", batch("1", start+job+"CRASH_NOW\ti=initiator/0\n"), "DONE\tseq=1\n", ""},
		{"instance crashes and starts again in the same batch", batch("1", start+job+"CRASH_NOW\ti=initiator/0\n"+start), "DONE\tseq=1\n", ""},
		{"unknown message", batch("1", start+"HELLO\ti=initiator/0\n"), "DONE\tseq=1\n", "unknown message"},
		{"missing field", batch("1", start+strings.Replace(job, "leftUs=900000\t", "", 1)), "DONE\tseq=1\n", "leftUs"},
		{"not a number", batch("1", start+strings.Replace(job, "grade=0", "grade=x", 1)), "DONE\tseq=1\n", "grade"},
		{
			"unknown endpoint list", batch("1", start+"PEERS_KNOWN\ti=initiator/0\thow=full\tindex=2\tbank=5\n"),
			"DONE\tseq=1\n", "bank 5",
		},
		{"not started", batch("1", job), "DONE\tseq=1\n", "not started"},
		{
			"invalid settings", batch("1", "LAUNCH\ti=initiator/0\tseed=7\tfacts={}\n"),
			"INTERNAL_ERROR\ti=initiator/0\ttext=settings: Tick must be above 0\nDONE\tseq=1\n", "",
		},
		{"failed discovery", batch("1", start+"PEERS_KNOWN\ti=initiator/0\thow=failed\tindex=2\n"), "DONE\tseq=1\n", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			out, log := serve(t, c.in)
			if out != c.out {
				t.Errorf("reply %q, want %q", out, c.out)
			}
			if c.log == "" && log != "" || !strings.Contains(log, c.log) || strings.Count(log, "\n") > 1 {
				t.Errorf("log %q, want %q", log, c.log)
			}
		})
	}
}

func TestInstancesAreIndependent(t *testing.T) {
	other := strings.ReplaceAll(start+job, "initiator/0", "initiator/1")
	out, _ := serve(t, batch("1", start+other))
	if strings.Contains(out, "initiator/0") || !strings.Contains(out, "TRY\ti=initiator/1") {
		t.Errorf("reply %q", out)
	}
}

func TestFailedAttemptIsRetried(t *testing.T) {
	in := batch("1", start+job) +
		batch("2", "RESULT\ti=initiator/0\trequestId=rq_x\tseqNo=0\ttarget=t-a\tstateCode=13\tlatencyUs=5\tfinal=0\n")
	if out, log := serve(t, in); strings.Count(out, "TRY\t") != 2 || log != "" {
		t.Errorf("reply %q, log %q", out, log)
	}
}

func TestVeryLongBatch(t *testing.T) {
	var in strings.Builder
	for i := range 5000 {
		in.WriteString(strings.Replace(job, "rq_x", fmt.Sprintf("rq_%d", i), 1))
	}
	out, log := serve(t, batch("1", start+in.String()))
	n := strings.Count(out, "TIMER\t")
	if n != 1 || log != "" || !strings.Contains(out, "TRY\t") || !strings.HasSuffix(out, "DONE\tseq=1\n") {
		t.Errorf("%d timers, log %q", n, log)
	}
}

func TestInputEndsInsideABatch(t *testing.T) {
	var o, l strings.Builder
	if err := Serve(strings.NewReader("BEGIN_BATCH\ttimeUs=1\tseq=1\n"), &o, &l); err == nil {
		t.Error("no error for an incomplete batch")
	}
}

func TestParseSettings(t *testing.T) {
	set, err := parseSettings(`{"balancers":3,"classes":[{"semantics":"dedup","group":"cell","windowUs":4000000,"byArrival":true}],
		"contracts":[{"ceilingRate":17,"limitBurst":48}],"safety":{"keyRestUs":200,"budgetSpanUs":5}}`)
	c := set.Classes[0]
	if err != nil || set.Fronts != 3 || c.Idempotency != scheduler.IdempotentByKey || c.DedupScope != scheduler.SameShard || !c.InOrder ||
		set.Plans[0].Limit != 17 || set.KeyPause != 200 || set.RetryBudgetSpan != 5 {
		t.Errorf("unexpected settings %+v, error %v", set, err)
	}
	if _, err := parseSettings(`{"classes":[{"semantics":"odd"}]}`); err == nil {
		t.Error("no error for unknown semantics")
	}
}

func TestProbeResultQueue(t *testing.T) {
	for text, want := range map[string]float64{"utilization:0.5,backlog:3": 3, "utilization:0.5": -1, "": -1} {
		l := parseLine("PROBE_RESULT\ttarget=a\tstateCode=0\tlatencyUs=5\tfeedback=" + text)
		if p := l.healthChecked(); !p.OK || p.Queue != want || l.err != nil {
			t.Errorf("feedback %q: %+v, error %v", text, p, l.err)
		}
	}
}
