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
	"otterturn/internal/net/pace"
	"otterturn/internal/net/protocol"
)

// WholeList in the place of a version has a watch begin with the whole list.
const WholeList = -1

// Watch follows discovery until ctx ends, from version seq on, and hands each list to apply, none once ctx has
// ended. What can't be read is logged, once for each text, and leaves things as they are. Fronts that share discovery
// begin at times of their own: until then a front serves from the list that it was started with.
func Watch(ctx context.Context, addr string, seq int64, zones []string, l limits.Limits, seed int64,
	apply func(protocol.List), log *slog.Logger) {
	client := &http.Client{Timeout: l.WatchHold + l.WatchSilence, Transport: &http.Transport{
		DisableCompression: true, MaxIdleConns: 1,
		DialContext: (&net.Dialer{Timeout: l.Connect}).DialContext}}
	defer client.CloseIdleConnections()
	said := ""
	calls := pace.New(pace.Figures{Least: l.WatchAgain, Most: l.WatchMost, Spread: l.WatchSpread}, seed)
	rest(ctx, calls.First())
	for ctx.Err() == nil {
		began := time.Now()
		list, err := fetch(ctx, client, addr, seq, zones, l)
		if ctx.Err() != nil {
			return // another watch may have begun: a late answer must not take back what that one tells
		}
		// An agent that does not hold an empty answer would be asked without end. The next call is due within 200 ms
		// of an answer, or the watch would have to begin anew.
		wait := l.WatchAgain
		if err == nil {
			calls.Served()
			said, seq = "", list.Seq
			apply(list)
			if len(list.Hosts) > 0 || time.Since(began) > l.WatchAgain {
				continue
			}
		} else {
			wait = calls.Failed()
			if text := err.Error(); text != said {
				said = text
				log.Warn("discovery can't be read, the list stays", "address", addr, "error", text)
			}
		}
		rest(ctx, wait)
	}
}

// rest waits for a while, or for the end of ctx.
func rest(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

func fetch(ctx context.Context, client *http.Client, addr string, seq int64, zones []string,
	l limits.Limits) (protocol.List, error) {
	url := fmt.Sprintf("http://%s/v1/endpoints", addr)
	if seq != WholeList {
		url += fmt.Sprintf("?from=%d&hold_ms=%d", seq, l.WatchHold.Milliseconds())
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
	text, err := io.ReadAll(io.LimitReader(resp.Body, l.List+1))
	switch {
	case err != nil:
		return protocol.List{}, err
	case resp.StatusCode != http.StatusOK || int64(len(text)) > l.List:
		return protocol.List{}, fmt.Errorf("status %d, %d bytes, %d may be read", resp.StatusCode, len(text), l.List)
	}
	return protocol.ParseList(text, zones)
}
