package transport

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"otterturn/internal/limits"
	"otterturn/internal/net/backoff"
	"otterturn/internal/net/protocol"
	"otterturn/scheduler"
)

// FullList is the version with which a watch begins with the full list.
const FullList = -1

// Watch follows discovery from version seq on until ctx ends, and calls apply with each list, never after ctx has ended. An
// answer that can't be read is logged, unless the same text was logged last, and leaves the endpoint list unchanged. Fronts
// that share discovery begin after different delays; until then a front serves from the list that it was started with.
//
// A watch that failed, or was silent for too long, is reopened by a call with a hold of 0, because only an immediate answer
// shows that discovery is available. Changes that were lost with the watch are newer than seq, so the answer contains them.
// A list with a version below seq is not applied. Discovery may have been restarted, so the full list is requested next,
// and that one is applied.
//
// now is the front's clock, which does not follow steps of the system clock. No node has started later than now.
func Watch(ctx context.Context, addr string, seq int64, zones []string, l limits.Limits, seed int64,
	now func() scheduler.Micros, apply func(protocol.List), log *slog.Logger,
) {
	client := &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConns: 1, MaxResponseHeaderBytes: int64(l.Requests.HeaderBytes),
		DialContext: (&net.Dialer{Timeout: l.Nodes.ConnectTimeout}).DialContext,
	}}
	defer client.CloseIdleConnections()
	lastWarning, hold := "", l.Discovery.WatchHold
	warn := func(message, reason string) {
		if reason != lastWarning {
			lastWarning = reason
			log.Warn(message, "address", addr, "error", reason)
		}
	}
	retries := backoff.New(backoff.Config{Min: l.Discovery.RetryMin, Max: l.Discovery.RetryMax, Spread: l.Discovery.StartSpread}, seed)
	sleep(ctx, retries.InitialDelay())
	for ctx.Err() == nil {
		startedAt := time.Now()
		list, err := fetchList(ctx, client, addr, seq, hold, zones, l, now)
		switch {
		case ctx.Err() != nil:
			return // another watch may have begun: a late answer must not undo its changes
		case err != nil:
			warn("discovery unreadable, endpoint list unchanged", err.Error())
			hold = 0
			sleep(ctx, retries.Next())
			continue
		case list.Seq < seq:
			warn("discovery went back, endpoint list unchanged", fmt.Sprintf("version %d is older than %d", list.Seq, seq))
			seq = FullList
			sleep(ctx, l.Discovery.RetryMin)
			continue
		case len(list.Invalid) > 0:
			warn("invalid endpoints ignored", fmt.Sprintf("%d entries, the first for %s", len(list.Invalid), list.Invalid[0]))
		default:
			lastWarning = ""
		}
		retries.Reset()
		// An agent that does not hold an empty answer would otherwise be called without a pause. The next call must come
		// within 200 ms of an answer, or the watch would have to be started again.
		callNow := hold == 0 || len(list.Hosts) > 0 || time.Since(startedAt) > l.Discovery.RetryMin
		seq, hold = list.Seq, l.Discovery.WatchHold
		apply(list)
		if !callNow {
			sleep(ctx, l.Discovery.RetryMin)
		}
	}
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// clockSlack is how far a node's clock may be ahead of this machine's.
const clockSlack = time.Minute

// fetchList requests the changes since version seq, or the full list. Discovery may delay the answer for up to hold.
func fetchList(ctx context.Context, client *http.Client, addr string, seq int64, hold time.Duration, zones []string,
	l limits.Limits, now func() scheduler.Micros,
) (protocol.List, error) {
	ctx, cancel := context.WithTimeout(ctx, hold+l.Discovery.AnswerTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/endpoints", addr)
	if seq != FullList {
		url += fmt.Sprintf("?from=%d&hold_ms=%d", seq, hold.Milliseconds())
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return protocol.List{}, err
	}
	resp, err := client.Do(r)
	if err != nil {
		return protocol.List{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, l.Discovery.ListBytes+1))
	switch {
	case err != nil:
		return protocol.List{}, err
	case resp.StatusCode != http.StatusOK || int64(len(body)) > l.Discovery.ListBytes:
		return protocol.List{}, fmt.Errorf("status %d, %d bytes, limit %d bytes", resp.StatusCode, len(body), l.Discovery.ListBytes)
	}
	return protocol.ParseList(body, zones, now()+toMicros(clockSlack))
}
