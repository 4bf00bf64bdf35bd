package protocol

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"otterturn/rules"
)

// Headers of the platform's messages.
const (
	headerID          = "X-Correlation-Id"
	headerClass       = "X-Service-Class"
	headerPlan        = "X-Plan"
	headerLeft        = "X-Time-Left"
	headerIO          = "X-IO"
	headerUnprocessed = "X-Unprocessed"
	headerElsewhere   = "X-Served-Elsewhere"
)

// ErrNoPath tells that a request's path is none that the front serves.
var ErrNoPath = errors.New("unknown path")

// longestID bounds what clients may have the scheduler keep.
const longestID = 128

// Request is a client's request: what the scheduler is told of it. Method, path, query and other headers pass
// on with the HTTP request; Body is set once it has come whole.
type Request struct {
	rules.Request
	Body []byte
}

// ParseRequest reads the head of a client's request.
func ParseRequest(r *http.Request, set Settings) (Request, error) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class := slices.Index(set.Classes, parts[0])
	if len(parts) != 3 || class < 0 || parts[1] == "" || parts[2] == "" {
		return Request{}, ErrNoPath
	}
	out := Request{Request: rules.Request{ID: r.Header.Get(headerID), Class: class,
		Plan: slices.Index(set.Plans, r.Header.Get(headerPlan)), Volume: parts[1], Key: parts[2]}}
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodPut:
		return Request{}, fmt.Errorf("method %q", r.Method)
	case out.ID == "" || len(out.ID) > longestID:
		return Request{}, fmt.Errorf("%s: %d characters", headerID, len(out.ID))
	case r.Header.Get(headerClass) != parts[0]:
		return Request{}, fmt.Errorf("%s: not the path's class", headerClass)
	case out.Plan < 0:
		return Request{}, fmt.Errorf("%s: unknown plan", headerPlan)
	}
	left, err := parseLeft(r.Header.Get(headerLeft))
	if err != nil {
		return Request{}, fmt.Errorf("%s: %w", headerLeft, err)
	}
	out.Left = min(left, rules.Micros(set.LongestWait/time.Microsecond))
	if err := parseIO(r.Header.Get(headerIO), &out); err != nil {
		return Request{}, err
	}
	if out.Shard >= set.Shards { // the scheduler keeps what it has once heard of
		return Request{}, fmt.Errorf("%s: there are %d shards", headerIO, set.Shards)
	}
	return out, nil
}

// parseLeft reads a time with its unit: m for milliseconds, u for microseconds.
func parseLeft(text string) (rules.Micros, error) {
	unit := rules.Micros(1)
	digits, micro := strings.CutSuffix(text, "u")
	if !micro {
		var milli bool
		if digits, milli = strings.CutSuffix(text, "m"); !milli {
			return 0, fmt.Errorf("%q has no unit", text)
		}
		unit = 1000
	}
	n, err := strconv.ParseFloat(digits, 64)
	if err != nil || !(n > 0 && n < 1e12) {
		return 0, fmt.Errorf("%q is no time", text)
	}
	return rules.Micros(n * float64(unit)), nil
}

// formatLeft writes a time as parseLeft reads it.
func formatLeft(d time.Duration) string {
	return strconv.FormatInt(max(1, d.Microseconds()), 10) + "u"
}

func parseIO(text string, out *Request) error {
	out.Shard, out.Hosts, out.Units = -1, 1, 1
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || !(n >= -1 && n < 1e6) {
			return fmt.Errorf("%s: %q is no number", headerIO, value)
		}
		switch name {
		case "units":
			out.Units = n
		case "shard":
			out.Shard = int(n)
		case "hosts":
			out.Hosts = int(n)
		}
	}
	return nil
}

// SetLeft tells a node how long the front will wait.
func SetLeft(h http.Header, left time.Duration) { h.Set(headerLeft, formatLeft(left)) }

// ParseOutcome tells from a node's answer how the attempt ended.
func ParseOutcome(status int, h http.Header) rules.Outcome {
	out := rules.Outcome{Result: rules.Errored}
	if n, err := strconv.ParseFloat(h.Get(headerElsewhere), 64); err == nil && n > 0 && n < 1e6 {
		out.Elsewhere = n
	}
	switch {
	case status == http.StatusOK:
		out.Result = rules.OK
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) &&
		h.Get(headerUnprocessed) == "1":
		out.Result = rules.Full
	}
	return out
}

// SetRetryAfter advises a client when to come back, in decimal seconds.
func SetRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
}

// ParseLoad reads the queue from a load report such as "TEXT inflight=7, queue=2, util=0.61". Its fields have the
// names that the settings give them.
func ParseLoad(text, field string) (queue float64, err error) {
	fields, ok := strings.CutPrefix(strings.TrimSpace(text), "TEXT ")
	if !ok {
		return 0, fmt.Errorf("load report: no TEXT form")
	}
	for pair := range strings.SplitSeq(fields, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if name != field {
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || !(n >= 0) {
			return 0, fmt.Errorf("load report: %s %q is no number", field, value)
		}
		return n, nil
	}
	return 0, fmt.Errorf("load report: no %s in %q", field, text)
}
