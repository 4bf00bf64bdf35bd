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

// mostOpen bounds the requests of one load that are open at once.
const mostOpen = 4096

// sent numbers requests, whose ids have to be their own.
var sent atomic.Int64

// mark names a front in the ids of the requests that it gets.
func (f *Front) mark() string { return fmt.Sprintf("f%d", f.config.number) }

// frontOf reads a front's mark from an attempt.
func frontOf(r *http.Request) string {
	mark, _, _ := strings.Cut(r.Header.Get("X-Correlation-Id"), "-")
	return mark
}

// request is one of a unit for a shard.
func (f *Front) request(set protocol.Settings, class, shard int, piece uint64) scheduler.Request {
	return scheduler.Request{
		ID: fmt.Sprintf("%s-%d-%d", f.mark(), time.Now().UnixNano(), sent.Add(1)), Class: class,
		Volume: fmt.Sprintf("%016x", piece%volumes), Key: fmt.Sprintf("%016x", piece), Units: 1, Shard: shard, Fronts: 1,
		TimeLeft: scheduler.Micros(set.LongestWait / time.Microsecond),
	}
}

// volumes are so many as are asked for.
const volumes = 64

// ask has a front get requests, open-loop, for shards that are drawn from the first ones.
func (f *Front) ask(ctx context.Context, rate float64, span time.Duration, shards int) (load.Progress, error) {
	set, err := f.config.settings()
	if err != nil {
		return load.Progress{}, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: mostOpen}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	send := func(ctx context.Context, _ int, rng *rand.Rand) load.Verdict {
		request := f.request(set, 0, rng.IntN(shards), rng.Uint64())
		request.Units = float64(1 + rng.IntN(max(1, f.config.units)))
		verdict, _ := load.Send(ctx, client, f.config.listen, set, request)
		return verdict
	}
	settings := load.Settings{Rate: rate, For: span, Seed: uint64(f.config.number) + 1, Open: mostOpen}
	return load.Run(ctx, settings, send, func(load.Progress) {}), nil
}

// askAll has all fronts get the same, at once.
func askAll(ctx context.Context, fronts []*Front, rate float64, span time.Duration, shards int) ([]load.Progress, error) {
	type outcome struct {
		at       int
		progress load.Progress
		err      error
	}
	outcomes := make(chan outcome, len(fronts))
	for i, f := range fronts {
		go func() {
			progress, err := f.ask(ctx, rate, span, shards)
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
