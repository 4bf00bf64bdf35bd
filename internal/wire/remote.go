package wire

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"otterturn/internal/net/protocol"
	"otterturn/scheduler"
)

// Remote is a client of the line protocol. It runs schedulers of another build of this program, in a process at the other
// end of a pipe. It is not safe for concurrent use.
type Remote struct {
	in  *bufio.Reader
	out *bufio.Writer
	seq int
}

// NewRemote returns a client of a process that runs Serve.
func NewRemote(in io.Reader, out io.Writer) *Remote {
	return &Remote{in: bufio.NewReader(in), out: bufio.NewWriter(out)}
}

// Instance is one scheduler in the remote process.
type Instance struct {
	remote *Remote
	name   string
	err    error
}

// Launch starts a scheduler in the remote process.
func (r *Remote) Launch(name string, set scheduler.Settings, seed int64) (*Instance, error) {
	facts, err := json.Marshal(protocol.FormatSettings(set))
	if err != nil {
		return nil, fmt.Errorf("facts: %w", err)
	}
	i := &Instance{remote: r, name: name}
	_, err = r.exchange(0, fmt.Sprintf("LAUNCH\ti=%s\tseed=%d\tfacts=%s\n", name, seed, facts))
	return i, err
}

// Err returns the first error of Step. After an error Step does nothing.
func (i *Instance) Err() error { return i.err }

// Step passes events to the scheduler and returns its actions.
func (i *Instance) Step(now scheduler.Micros, events []scheduler.Event) []scheduler.Action {
	if i.err != nil {
		return nil
	}
	var text strings.Builder
	for _, e := range events {
		i.writeEvent(&text, e)
	}
	lines, err := i.remote.exchange(now, text.String())
	var out []scheduler.Action
	for _, l := range lines {
		if a := l.action(); a != nil {
			out = append(out, a)
		}
		if err == nil {
			err = l.err
		}
	}
	if err != nil {
		i.err = fmt.Errorf("remote scheduler: %w", err)
	}
	return out
}

// exchange sends one batch and returns the lines of its answer.
func (r *Remote) exchange(now scheduler.Micros, text string) (lines []*line, err error) {
	r.seq++
	fmt.Fprintf(r.out, "BEGIN_BATCH\ttimeUs=%d\tseq=%d\n%sEOB\n", now, r.seq, text)
	if err := r.out.Flush(); err != nil {
		return nil, err
	}
	for {
		text, err := r.in.ReadString('\n')
		if err != nil {
			return nil, err
		}
		l := parseLine(strings.TrimRight(text, "\r\n"))
		switch l.name {
		case "DONE":
			return lines, nil
		case "INTERNAL_ERROR":
			return nil, fmt.Errorf("remote process reports an internal error: %s", l.fields["text"])
		}
		lines = append(lines, l)
	}
}

// invert inverts a map, for writing the words that a message is parsed with.
func invert[K, V comparable](values map[K]V) map[V]K {
	out := map[V]K{}
	for k, v := range values {
		out[v] = k
	}
	return out
}

var stateWords, resultWords = invert(states), invert(results)

func (i *Instance) writeEvent(w io.Writer, e scheduler.Event) {
	switch e := e.(type) {
	case scheduler.EndpointsChanged:
		how := "delta"
		if e.Full {
			how = "full"
		}
		fmt.Fprintf(w, "REGISTER\tbank=%s\trows=%d\n", i.name, len(e.Endpoints))
		for _, l := range e.Endpoints {
			fmt.Fprintf(w, "ENTRY\ttarget=%s\tregionPart=%d\tcohort=%d\tavailability=%s\tcameUpUs=%d\n", l.Node, l.Zone, l.Shard,
				stateWords[l.State], l.StartedAt)
		}
		fmt.Fprintf(w, "PEERS_KNOWN\ti=%s\thow=%s\tbank=%s\n", i.name, how, i.name)
	case scheduler.Request:
		fmt.Fprintf(w, "JOB_IN\ti=%s\trequestId=%s\tgrade=%d\tplan=%d\tvol=%s\tchunk=%s\tquotaUnits=%v\tliesIn=%d\tsetSize=%d\tleftUs=%d\n",
			i.name, e.ID, e.Class, e.Plan, e.Volume, e.Key, e.Units, e.Shard, e.Fronts, e.TimeLeft)
	case scheduler.AttemptEnded:
		final := 0
		if e.Final {
			final = 1
		}
		fmt.Fprintf(w, "RESULT\ti=%s\trequestId=%s\tseqNo=%d\tstateCode=%s\tlatencyUs=%d\tfinal=%d\telsewhere=%v\n", i.name, e.ID,
			e.Attempt, resultWords[e.Result], e.Latency, final, e.ServedElsewhere)
	case scheduler.ClientLeft:
		fmt.Fprintf(w, "LAPSED\ti=%s\trequestId=%s\n", i.name, e.ID)
	case scheduler.HealthChecked:
		code, feedback := 14, ""
		if e.OK {
			code, feedback = 0, fmt.Sprintf("\tfeedback=backlog:%v", e.Queue)
		}
		fmt.Fprintf(w, "PROBE_RESULT\ti=%s\ttarget=%s\tstateCode=%d%s\n", i.name, e.Node, code, feedback)
	case scheduler.CapacityRequested:
		i.writePeerMessage(w, e.From, scheduler.RequestCapacity{Node: e.Node, StartedAt: e.StartedAt, CapacityRequest: e.CapacityRequest})
	case scheduler.CapacityGranted:
		i.writePeerMessage(w, e.From, scheduler.GrantCapacity{Node: e.Node, Units: e.Units, ValidUntil: e.ValidUntil})
	case scheduler.TimerFired:
		fmt.Fprintf(w, "REMINDER\ti=%s\tctx=0\n", i.name)
	}
}

func (i *Instance) writePeerMessage(w io.Writer, from int, a scheduler.Action) {
	fmt.Fprintf(w, "NOTE_FROM\ti=%s\toriginPeer=%d\toctets=%s\n", i.name, from, base64.StdEncoding.EncodeToString(protocol.FormatPeerMessage(a)))
}

// action parses a line as an action, nil if the line is invalid.
func (l *line) action() scheduler.Action {
	id := l.fields["requestId"]
	switch l.name {
	case "TRY":
		return scheduler.StartAttempt{ID: id, Node: l.text("target")}
	case "SHED":
		return scheduler.Reject{ID: id, RetryAfter: scheduler.Micros(l.integer("comeBackUs"))}
	case "END_FAILED":
		return scheduler.Fail{ID: id}
	case "CANCEL":
		return scheduler.CancelAttempt{ID: id, Attempt: int(l.integer("seqNo"))}
	case "TEST":
		return scheduler.CheckHealth{Node: l.text("target")}
	case "SHARE":
		switch e := l.peerMessage("recipient").(type) {
		case scheduler.CapacityRequested:
			return scheduler.RequestCapacity{To: e.From, Node: e.Node, StartedAt: e.StartedAt, CapacityRequest: e.CapacityRequest}
		case scheduler.CapacityGranted:
			return scheduler.GrantCapacity{To: e.From, Node: e.Node, Units: e.Units, ValidUntil: e.ValidUntil}
		}
		return nil
	case "TIMER":
		return scheduler.SetTimer{At: scheduler.Micros(l.integer("atUs"))}
	}
	l.fail("unknown message")
	return nil
}
