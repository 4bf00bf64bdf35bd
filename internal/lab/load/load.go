// Package load generates open-loop load on a running front: requests are sent at drawn times without waiting for earlier
// answers, and latency counts from the scheduled time of a request.
package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/sftp"

	"otterturn/internal/net/protocol"
	"otterturn/scheduler"
)

// Verdict is the outcome of a request.
type Verdict int

// Values of Verdict.
const (
	Served Verdict = iota
	Rejected
	Failed
	verdictCount
)

// Settings describe the load.
type Settings struct {
	Rate     float64 // requests per second
	Duration time.Duration
	Seed     uint64
	MaxOpen  int // bound of open requests; above it the front is overloaded and further requests count as failed without being sent
}

// Progress holds the figures of a run so far.
type Progress struct {
	At       time.Duration
	Requests int64
	Ended    [verdictCount]int64
	Median   time.Duration // median latency of served requests
	P99      time.Duration // 99th percentile of their latency
}

func (p Progress) String() string {
	return fmt.Sprintf("%.0f s: %d requests, %d served, %d rejected, %d failed; latency %.0f ms (median), %.0f ms (99th percentile)",
		p.At.Seconds(), p.Requests, p.Ended[Served], p.Ended[Rejected], p.Ended[Failed], p.Median.Seconds()*1000, p.P99.Seconds()*1000)
}

// SendFunc sends the request with number n and returns its outcome.
type SendFunc func(ctx context.Context, n int, rng *rand.Rand) Verdict

// Run generates load. It calls report with its progress every second and at the end, and returns the last progress.
func Run(ctx context.Context, settings Settings, ask SendFunc, report func(Progress)) Progress {
	rng := rand.New(rand.NewPCG(settings.Seed, 3))
	var mu sync.Mutex
	latency := hdrhistogram.New(1, 60_000_000, 3)
	var progress Progress
	began := time.Now()
	now := func() Progress {
		mu.Lock()
		defer mu.Unlock()
		progress.At = time.Since(began)
		progress.Median = time.Duration(latency.ValueAtQuantile(50)) * time.Microsecond
		progress.P99 = time.Duration(latency.ValueAtQuantile(99)) * time.Microsecond
		return progress
	}
	var running sync.WaitGroup
	var open atomic.Int64
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	finish := func(v Verdict, scheduled time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		progress.Ended[v]++
		if v == Served {
			latency.RecordValue(min(60_000_000, (time.Since(began) - scheduled).Microseconds()))
		}
	}
	for n, scheduled := 0, time.Duration(0); ; n++ {
		scheduled += time.Duration(rng.ExpFloat64() / settings.Rate * float64(time.Second))
		if scheduled >= settings.Duration {
			break
		}
		timer.Reset(scheduled - time.Since(began))
		for waiting := true; waiting; {
			select {
			case <-timer.C:
				waiting = false
			case <-ticker.C:
				report(now())
			case <-ctx.Done():
				running.Wait()
				return now()
			}
		}
		mu.Lock()
		progress.Requests++
		mu.Unlock()
		if open.Load() >= int64(settings.MaxOpen) {
			finish(Failed, scheduled)
			continue
		}
		requestRandom := rand.New(rand.NewPCG(settings.Seed, uint64(n)+4))
		open.Add(1)
		running.Go(func() {
			defer open.Add(-1)
			finish(ask(ctx, n, requestRandom), scheduled)
		})
	}
	running.Wait()
	final := now()
	report(final)
	return final
}

// HTTP returns a function that sends requests of the platform's protocol for the volumes of the given number of projects.
func HTTP(addr string, set protocol.Settings, projects int) SendFunc {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	return func(ctx context.Context, n int, rng *rand.Rand) Verdict {
		class, project := rng.IntN(len(set.Classes)), rng.IntN(projects)
		q := scheduler.Request{
			ID: fmt.Sprintf("load-%d-%d", time.Now().UnixNano(), n), Class: class, Plan: project % len(set.Plans), Volume: fmt.Sprintf("%016x", project),
			Key: fmt.Sprintf("%016x", rng.Uint32()), Units: float64(1 + rng.IntN(3)), Shard: rng.IntN(set.Shards), Fronts: 1,
			TimeLeft: scheduler.Micros(set.MaxDeadline / time.Microsecond),
		}
		v, _ := Send(ctx, client, addr, set, q)
		return v
	}
}

// Send sends a request to a front in the platform's protocol. It returns the outcome and, for a rejected request, the time
// after which it may be retried.
func Send(ctx context.Context, client *http.Client, addr string, set protocol.Settings, q scheduler.Request) (v Verdict, retryAfter scheduler.Micros) {
	r, err := protocol.FormatRequest(ctx, addr, set, q)
	if err != nil {
		return Failed, 0
	}
	resp, err := client.Do(r)
	if err != nil {
		return Failed, 0
	}
	_, err = io.Copy(io.Discard, resp.Body)
	switch err = errors.Join(err, resp.Body.Close()); {
	case err == nil && resp.StatusCode == http.StatusOK:
		return Served, 0
	case err == nil && resp.StatusCode == http.StatusServiceUnavailable:
		return Rejected, protocol.ParseRetryAfter(resp.Header)
	}
	return Failed, 0
}

// Files returns a function that writes or reads a file in one of the folders per request, over the given number of SFTP
// sessions. end closes the sessions.
func Files(addr string, folders []string, sessions int) (ask SendFunc, end func(), err error) {
	idle := make(chan *sftp.Client, sessions)
	end = func() {
		for range len(idle) {
			(<-idle).Close()
		}
	}
	connect := func() (*sftp.Client, error) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return nil, err
		}
		return sftp.NewClientPipe(c, c)
	}
	for range sessions {
		c, err := connect()
		if err != nil {
			end()
			return nil, nil, fmt.Errorf("SFTP session with %s: %w", addr, err)
		}
		idle <- c
	}
	return func(ctx context.Context, n int, rng *rand.Rand) Verdict {
		var c *sftp.Client
		select {
		case c = <-idle:
		case <-ctx.Done():
			return Failed
		}
		name := folders[rng.IntN(len(folders))] + "/file-" + strconv.Itoa(rng.IntN(8))
		err := transfer(c, name, rng.IntN(3) == 0, make([]byte, 1+rng.IntN(48<<10)))
		if err != nil && !isRejected(err) { // the session may be broken
			c.Close()
			if replacement, connectErr := connect(); connectErr == nil {
				c = replacement
			}
		}
		idle <- c
		switch {
		case err == nil:
			return Served
		case isRejected(err):
			return Rejected
		}
		return Failed
	}, end, nil
}

// transfer writes a file or reads the beginning of it. Reading a file that does not exist yet is not an error.
func transfer(c *sftp.Client, name string, write bool, data []byte) error {
	if write {
		f, err := c.Create(name)
		if err != nil {
			return err
		}
		_, err = f.Write(data)
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
		return err
	}
	f, err := c.Open(name)
	if isMissing(err) {
		return nil
	} else if err != nil {
		return err
	}
	_, err = f.Read(data)
	f.Close()
	if err == io.EOF {
		err = nil
	}
	return err
}
