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

// FullList in the place of a version has a watch begin with the whole list.
const FullList = -1

// Watch follows discovery until ctx ends, from version seq on, and hands each list to apply, none once ctx has
// ended. What can't be read is logged, once for each text, and leaves things as they are. Fronts that share discovery
// begin at times of their own: until then a front serves from the list that it was started with.
//
// A watch that ended, or is silent past its time, is opened anew by a call that is not held: only its answer shows that
// somebody is there. What went lost with the watch is newer than seq, and so comes with it. A list that is older than what
// is known takes nothing back; discovery may have begun anew, so the whole list is asked for, and that holds.
//
// now is the front's clock, by which no node has started later: it follows no step of the system's.
func Watch(ctx context.Context, addr string, seq int64, zones []string, l limits.Limits, seed int64,
	now func() scheduler.Micros, apply func(protocol.List), log *slog.Logger,
) {
	client := &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConns: 1,
		DialContext: (&net.Dialer{Timeout: l.Nodes.ConnectTimeout}).DialContext,
	}}
	defer client.CloseIdleConnections()
	said, hold := "", l.Discovery.WatchHold
	warn := func(what, text string) {
		if text != said {
			said = text
			log.Warn(what, "address", addr, "error", text)
		}
	}
	calls := backoff.New(backoff.Config{Min: l.Discovery.RetryMin, Max: l.Discovery.RetryMax, Spread: l.Discovery.StartSpread}, seed)
	sleep(ctx, calls.InitialDelay())
	for ctx.Err() == nil {
		began := time.Now()
		list, err := fetch(ctx, client, addr, seq, hold, zones, l, now)
		switch {
		case ctx.Err() != nil:
			return // another watch may have begun: a late answer must not take back what that one tells
		case err != nil:
			warn("discovery unreadable, endpoint list unchanged", err.Error())
			hold = 0
			sleep(ctx, calls.Next())
			continue
		case list.Seq < seq:
			warn("discovery went back, endpoint list unchanged", fmt.Sprintf("%d behind %d", list.Seq, seq))
			seq = FullList
			sleep(ctx, l.Discovery.RetryMin)
			continue
		case len(list.Odd) > 0:
			warn("invalid endpoints ignored", fmt.Sprintf("%d, of %s first", len(list.Odd), list.Odd[0]))
		default:
			said = ""
		}
		calls.Reset()
		// An agent that does not hold an empty answer would be asked without end. The next call is due within 200 ms
		// of an answer, or the watch would have to begin anew.
		again := hold == 0 || len(list.Hosts) > 0 || time.Since(began) > l.Discovery.RetryMin
		seq, hold = list.Seq, l.Discovery.WatchHold
		apply(list)
		if !again {
			sleep(ctx, l.Discovery.RetryMin)
		}
	}
}

// sleep waits for a while, or for the end of ctx.
func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// clockSlack is how far ahead of this machine's clock a node's may be.
const clockSlack = time.Minute

// fetch asks for what is newer than a version, or for all. Discovery may hold the answer for a while.
func fetch(ctx context.Context, client *http.Client, addr string, seq int64, hold time.Duration, zones []string,
	l limits.Limits, now func() scheduler.Micros,
) (protocol.List, error) {
	ctx, end := context.WithTimeout(ctx, hold+l.Discovery.AnswerTimeout)
	defer end()
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
	text, err := io.ReadAll(io.LimitReader(resp.Body, l.Discovery.ListBytes+1))
	switch {
	case err != nil:
		return protocol.List{}, err
	case resp.StatusCode != http.StatusOK || int64(len(text)) > l.Discovery.ListBytes:
		return protocol.List{}, fmt.Errorf("status %d, %d bytes, %d may be read", resp.StatusCode, len(text), l.Discovery.ListBytes)
	}
	return protocol.ParseList(text, zones, now()+toMicros(clockSlack))
}
