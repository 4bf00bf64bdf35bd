package processes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"otterturn/internal/lab/load"
	"otterturn/internal/net/protocol"
	"otterturn/scheduler"
)

// maxOpenRequests bounds the open requests of one load.
const maxOpenRequests = 4096

// requestCount counts requests, which makes their ids unique.
var requestCount atomic.Int64

// idPrefix returns the prefix of the ids of the requests sent to the front.
func (f *Front) idPrefix() string { return fmt.Sprintf("f%d", f.config.number) }

// idPrefixOf returns the id prefix of the front that sent an attempt.
func idPrefixOf(r *http.Request) string {
	prefix, _, _ := strings.Cut(r.Header.Get("X-Correlation-Id"), "-")
	return prefix
}

// newRequest returns a request of one unit for a shard.
func (f *Front) newRequest(settings protocol.Settings, class, shard int, key uint64) scheduler.Request {
	return scheduler.Request{
		ID: fmt.Sprintf("%s-%d-%d", f.idPrefix(), time.Now().UnixNano(), requestCount.Add(1)), Class: class,
		Volume: fmt.Sprintf("%016x", key%volumeCount), Key: fmt.Sprintf("%016x", key), Units: 1, Shard: shard, Fronts: 1,
		TimeLeft: scheduler.Micros(settings.MaxDeadline / time.Microsecond),
	}
}

// volumeCount is the number of volumes that requests use.
const volumeCount = 64

// sendLoad sends an open-loop load to a front, for random shards below the given number.
func (f *Front) sendLoad(ctx context.Context, rate float64, span time.Duration, shards int) (load.Progress, error) {
	settings, err := f.config.settings()
	if err != nil {
		return load.Progress{}, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxOpenRequests}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	send := func(ctx context.Context, _ int, rng *rand.Rand) load.Verdict {
		request := f.newRequest(settings, 0, rng.IntN(shards), rng.Uint64())
		request.Units = float64(1 + rng.IntN(max(1, f.config.maxUnits)))
		verdict, _ := load.Send(ctx, client, f.config.listen, settings, request)
		return verdict
	}
	loadSettings := load.Settings{Rate: rate, Duration: span, Seed: uint64(f.config.number) + 1, MaxOpen: maxOpenRequests}
	return load.Run(ctx, loadSettings, send, func(load.Progress) {}), nil
}

// sendLoadToAll sends the same load to all fronts concurrently.
func sendLoadToAll(ctx context.Context, fronts []*Front, rate float64, span time.Duration, shards int) ([]load.Progress, error) {
	type outcome struct {
		at       int
		progress load.Progress
		err      error
	}
	outcomes := make(chan outcome, len(fronts))
	for i, f := range fronts {
		go func() {
			progress, err := f.sendLoad(ctx, rate, span, shards)
			outcomes <- outcome{i, progress, err}
		}()
	}
	all := make([]load.Progress, len(fronts))
	var failed error
	for range fronts {
		o := <-outcomes
		all[o.at] = o.progress
		if o.err != nil {
			failed = o.err
		}
	}
	return all, failed
}
