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

// mostOpen bounds the open requests of one load.
const mostOpen = 4096

// sent counts requests, which makes their ids unique.
var sent atomic.Int64

// mark returns the prefix of the ids of the requests sent to the front.
func (f *Front) mark() string { return fmt.Sprintf("f%d", f.config.number) }

// frontOf returns the mark of the front that sent an attempt.
func frontOf(r *http.Request) string {
	mark, _, _ := strings.Cut(r.Header.Get("X-Correlation-Id"), "-")
	return mark
}

// request returns a request of one unit for a shard.
func (f *Front) request(set protocol.Settings, class, shard int, piece uint64) scheduler.Request {
	return scheduler.Request{
		ID: fmt.Sprintf("%s-%d-%d", f.mark(), time.Now().UnixNano(), sent.Add(1)), Class: class,
		Volume: fmt.Sprintf("%016x", piece%volumes), Key: fmt.Sprintf("%016x", piece), Units: 1, Shard: shard, Fronts: 1,
		TimeLeft: scheduler.Micros(set.LongestWait / time.Microsecond),
	}
}

// volumes is the number of volumes that requests use.
const volumes = 64

// ask sends an open-loop load to a front, for random shards below the given number.
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

// askAll sends the same load to all fronts concurrently.
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
