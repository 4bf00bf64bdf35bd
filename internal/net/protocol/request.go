package protocol

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"otterturn/scheduler"
)

// Headers of the platform's messages.
const (
	headerID              = "X-Correlation-Id"
	headerClass           = "X-Service-Class"
	headerPlan            = "X-Plan"
	headerTimeLeft        = "X-Time-Left"
	headerIO              = "X-IO"
	headerRepeat          = "X-Repeat"
	headerIdempotencyKey  = "Idempotency-Key"
	headerContentType     = "Content-Type"
	headerUnprocessed     = "X-Unprocessed"
	headerServedElsewhere = "X-Served-Elsewhere"
)

// ErrUnknownPath reports that the front does not serve a request's path.
var ErrUnknownPath = errors.New("unknown path")

// maxIDBytes is the maximum length of an id in bytes. It limits the scheduler's memory per request, since clients choose the ids.
const maxIDBytes = 128

// pathParts is the number of parts of a request's path: its class, its volume and its chunk.
const pathParts = 3

// maxIOBytes is the maximum length of the header with a request's size and location.
const maxIOBytes = 256

// forwarded lists the headers that are passed on to nodes. A request may have each only once, because a node might use the other value.
var forwarded = []string{headerID, headerClass, headerPlan, headerTimeLeft, headerIO, headerRepeat, headerIdempotencyKey, headerContentType}

// RequestFields returns the names of the headers that a front reads from a client's request.
func RequestFields() []string { return slices.Clone(forwarded) }

// AnswerFields returns the names of the headers that a front reads from a node's answer.
func AnswerFields() []string {
	return []string{headerContentType, headerUnprocessed, headerServedElsewhere}
}

// Forwarded returns the headers of a client's request that are passed on to nodes.
func Forwarded(h http.Header) http.Header {
	out := http.Header{}
	for _, name := range forwarded {
		if v := h.Get(name); v != "" {
			out.Set(name, v)
		}
	}
	return out
}

// isHexID reports whether a text consists of 16 hex digits, as the names of volumes and chunks do.
func isHexID(text string) bool {
	_, err := strconv.ParseUint(text, 16, 64)
	return len(text) == 16 && err == nil
}

// IsValidID reports whether a text is a valid id of a request: one without characters that another parser might treat differently.
func IsValidID(text string) bool {
	return text != "" && len(text) <= maxIDBytes && !strings.ContainsFunc(text, func(c rune) bool {
		return c <= ' ' || c > '~' || c == ',' || c == '"'
	})
}

// Request is a client's request as the scheduler sees it. Method, path, query and other headers are passed on with the HTTP
// request. Body is set once it has been read completely.
type Request struct {
	scheduler.Request
	Body []byte
}

// ParseRequest parses the head of a client's request. It rejects a request that a node could not parse, because the node would
// close the connection, which counts as a failure of the node.
func ParseRequest(r *http.Request, set Settings) (Request, error) {
	parts := strings.SplitN(strings.TrimPrefix(r.URL.Path, "/"), "/", pathParts+1)
	class := slices.Index(set.Classes, parts[0])
	if len(parts) != pathParts || parts[0] == "" || class < 0 || !isHexID(parts[1]) || !isHexID(parts[2]) || r.URL.RawPath != "" {
		return Request{}, ErrUnknownPath
	}
	for _, name := range forwarded {
		if len(r.Header.Values(name)) > 1 {
			return Request{}, fmt.Errorf("%s: more than one", name)
		}
	}
	out := Request{Request: scheduler.Request{
		ID: r.Header.Get(headerID), Class: class,
		Plan: slices.Index(set.Plans, r.Header.Get(headerPlan)), Volume: parts[1], Key: parts[2],
	}}
	key, keyRequired := r.Header.Get(headerIdempotencyKey), class < len(set.Scheduler.Classes) &&
		set.Scheduler.Classes[class].Idempotency == scheduler.IdempotentByKey
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodPut:
		return Request{}, fmt.Errorf("method %q", r.Method)
	case r.Method == http.MethodGet && r.ContentLength != 0:
		return Request{}, fmt.Errorf("a read with a body")
	case class < len(set.Writes) && set.Writes[class] != (r.Method == http.MethodPut):
		return Request{}, fmt.Errorf("method %q is not the class's", r.Method)
	case !IsValidID(out.ID):
		return Request{}, fmt.Errorf("%s: not 1 to %d plain characters", headerID, maxIDBytes)
	case key != "" && !IsValidID(key) || keyRequired && key == "":
		return Request{}, fmt.Errorf("%s: missing, or not up to %d plain characters", headerIdempotencyKey, maxIDBytes)
	case r.Header.Get(headerClass) != parts[0]:
		return Request{}, fmt.Errorf("%s: not the path's class", headerClass)
	case out.Plan < 0:
		return Request{}, fmt.Errorf("%s: unknown plan", headerPlan)
	}
	timeLeft, err := parseTimeLeft(r.Header.Get(headerTimeLeft))
	if err != nil {
		return Request{}, fmt.Errorf("%s: %w", headerTimeLeft, err)
	}
	out.TimeLeft = min(timeLeft, scheduler.Micros(set.MaxDeadline/time.Microsecond))
	if err := parseIO(r.Header.Get(headerIO), &out, set); err != nil {
		return Request{}, fmt.Errorf("%s: %w", headerIO, err)
	}
	return out, nil
}

// FormatRequest builds a client's HTTP request to a front, as ParseRequest reads it. Writes use their id as the idempotency key.
func FormatRequest(ctx context.Context, addr string, set Settings, request scheduler.Request) (*http.Request, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if request.Class < len(set.Writes) && set.Writes[request.Class] {
		method, body = http.MethodPut, strings.NewReader(request.ID)
	}
	class := set.Classes[request.Class]
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/%s/%s/%s", addr, class, request.Volume, request.Key), body)
	if err != nil {
		return nil, err
	}
	r.Header.Set(headerID, request.ID)
	r.Header.Set(headerClass, class)
	r.Header.Set(headerPlan, set.Plans[request.Plan])
	r.Header.Set(headerTimeLeft, formatTimeLeft(time.Duration(request.TimeLeft)*time.Microsecond))
	r.Header.Set(headerIO, fmt.Sprintf("units=%v,shard=%d,hosts=%d", request.Units, request.Shard, max(request.Fronts, 1)))
	if method == http.MethodPut {
		r.Header.Set(headerIdempotencyKey, request.ID)
	}
	return r, nil
}

// ParseRetryAfter returns the Retry-After header, or 0 if it is missing or invalid.
func ParseRetryAfter(h http.Header) scheduler.Micros {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0 && seconds < 1e6) {
		return 0
	}
	return scheduler.Micros(seconds * 1e6)
}

// parseTimeLeft parses a time with its unit: m for milliseconds, u for microseconds.
func parseTimeLeft(text string) (scheduler.Micros, error) {
	unit := scheduler.Micros(1)
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
	return scheduler.Micros(n * float64(unit)), nil
}

// formatTimeLeft formats a time as parseTimeLeft reads it.
func formatTimeLeft(d time.Duration) string {
	return strconv.FormatInt(max(1, d.Microseconds()), 10) + "u"
}

// parseIO parses a request's size and location. The scheduler keeps what it learns of a volume and a shard, so an impossible value
// would remain in use.
func parseIO(text string, out *Request, set Settings) error {
	if len(text) > maxIOBytes { // each pair takes a multiple of its bytes while it is parsed
		return fmt.Errorf("longer than %d bytes", maxIOBytes)
	}
	seen := map[string]bool{}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if seen[name] {
			return fmt.Errorf("%s stands twice", name)
		}
		seen[name] = true
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return fmt.Errorf("%s %q is no number", name, value)
		}
		valid, isInteger := true, n == math.Trunc(n)
		switch name {
		case "units":
			valid, out.Units = n > 0 && n <= cmp.Or(set.Scheduler.MaxUnits, 1e6), n
		case "shard":
			valid, out.Shard = isInteger && n >= -1 && n < float64(set.Shards), int(n)
		case "hosts":
			valid, out.Fronts = isInteger && n >= 1 && n <= float64(cmp.Or(set.Scheduler.Fronts, 1e6)), int(n)
		}
		if !valid {
			return fmt.Errorf("%s %q is out of range", name, value)
		}
	}
	if !seen["units"] || !seen["shard"] || !seen["hosts"] {
		return errors.New("units, shard and hosts must stand in it")
	}
	return nil
}

// SetTimeLeft sets the header that tells a node how long the front will wait for its answer.
func SetTimeLeft(h http.Header, left time.Duration) { h.Set(headerTimeLeft, formatTimeLeft(left)) }

// ParseOutcome returns the result of an attempt, given the node's answer.
func ParseOutcome(status int, h http.Header) scheduler.AttemptEnded {
	out := scheduler.AttemptEnded{Result: scheduler.Errored}
	if n, err := strconv.ParseFloat(h.Get(headerServedElsewhere), 64); err == nil && n > 0 && n < 1e6 {
		out.ServedElsewhere = n
	}
	switch {
	case status == http.StatusOK:
		out.Result = scheduler.OK
	case status == http.StatusGatewayTimeout && h.Get(headerUnprocessed) == "1":
		out.Result = scheduler.Expired
	case status == http.StatusServiceUnavailable && h.Get(headerUnprocessed) == "1":
		out.Result = scheduler.QueueFull
	}
	return out
}

// SetRetryAfter sets the Retry-After header, in decimal seconds.
func SetRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
}
