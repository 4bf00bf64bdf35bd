// Package load asks a running front for what clients would, open-loop: what is asked is drawn ahead, nothing waits for
// an answer, and latency counts from when a request was meant to be sent.
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

// Verdict is how a request ended.
type Verdict int

// The kinds of Verdict.
const (
	Served Verdict = iota
	Refused
	Failed
	verdicts
)

// Settings say how much is asked for.
type Settings struct {
	Rate float64 // requests a second
	For  time.Duration
	Seed uint64
	Open int // requests open at once, past which a front is hopelessly behind and the rest counts as failed
}

// Progress is how far a run is.
type Progress struct {
	At    time.Duration
	Asked int64
	Ended [verdicts]int64
	Half  time.Duration // median latency of what was served
	Most  time.Duration // and its 99th percentile
}

func (p Progress) String() string {
	return fmt.Sprintf("%.0f s: %d asked, %d served, %d refused, %d failed; %.0f ms in the median, %.0f ms at 99%%", p.At.Seconds(), p.Asked,
		p.Ended[Served], p.Ended[Refused], p.Ended[Failed], p.Half.Seconds()*1000, p.Most.Seconds()*1000)
}

// Ask sends the request of a number and tells how it ended.
type Ask func(ctx context.Context, n int, rng *rand.Rand) Verdict

// Run asks, and tells its progress every second and at its end, which it returns.
func Run(ctx context.Context, set Settings, ask Ask, tell func(Progress)) Progress {
	rng := rand.New(rand.NewPCG(set.Seed, 3))
	var mu sync.Mutex
	latency := hdrhistogram.New(1, 60_000_000, 3)
	var p Progress
	began := time.Now()
	now := func() Progress {
		mu.Lock()
		defer mu.Unlock()
		p.At = time.Since(began)
		p.Half = time.Duration(latency.ValueAtQuantile(50)) * time.Microsecond
		p.Most = time.Duration(latency.ValueAtQuantile(99)) * time.Microsecond
		return p
	}
	var all sync.WaitGroup
	var open atomic.Int64
	second := time.NewTicker(time.Second)
	defer second.Stop()
	due := time.NewTimer(0)
	defer due.Stop()
	end := func(v Verdict, meant time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		p.Ended[v]++
		if v == Served {
			latency.RecordValue(min(60_000_000, (time.Since(began) - meant).Microseconds()))
		}
	}
	for n, meant := 0, time.Duration(0); ; n++ {
		meant += time.Duration(rng.ExpFloat64() / set.Rate * float64(time.Second))
		if meant >= set.For {
			break
		}
		due.Reset(meant - time.Since(began))
		for waits := true; waits; {
			select {
			case <-due.C:
				waits = false
			case <-second.C:
				tell(now())
			case <-ctx.Done():
				all.Wait()
				return now()
			}
		}
		mu.Lock()
		p.Asked++
		mu.Unlock()
		if open.Load() >= int64(set.Open) {
			end(Failed, meant)
			continue
		}
		own := rand.New(rand.NewPCG(set.Seed, uint64(n)+4))
		open.Add(1)
		all.Go(func() {
			defer open.Add(-1)
			end(ask(ctx, n, own), meant)
		})
	}
	all.Wait()
	last := now()
	tell(last)
	return last
}

// HTTP asks by the platform's protocol: for pieces of so many projects.
func HTTP(addr string, set protocol.Settings, projects int) Ask {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	return func(ctx context.Context, n int, rng *rand.Rand) Verdict {
		class, project := rng.IntN(len(set.Classes)), rng.IntN(projects)
		q := scheduler.Request{
			ID: fmt.Sprintf("load-%d-%d", time.Now().UnixNano(), n), Class: class, Plan: project % len(set.Plans), Volume: fmt.Sprintf("%016x", project),
			Key: fmt.Sprintf("%016x", rng.Uint32()), Units: float64(1 + rng.IntN(3)), Shard: rng.IntN(set.Shards), Fronts: 1,
			TimeLeft: scheduler.Micros(set.LongestWait / time.Microsecond),
		}
		v, _ := Send(ctx, client, addr, set, q)
		return v
	}
}

// Send sends a request to a front by the platform's protocol, and tells how it was answered, and when a refused one should
// come back.
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
		return Refused, protocol.ParseRetryAfter(resp.Header)
	}
	return Failed, 0
}

// Files asks with file commands: each request is a file written or read, in the folders given, over one of so many
// sessions. The end function closes them.
func Files(addr string, folders []string, sessions int) (ask Ask, end func(), err error) {
	free := make(chan *sftp.Client, sessions)
	end = func() {
		for range len(free) {
			(<-free).Close()
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
			return nil, nil, fmt.Errorf("a session with %s: %w", addr, err)
		}
		free <- c
	}
	return func(ctx context.Context, n int, rng *rand.Rand) Verdict {
		var c *sftp.Client
		select {
		case c = <-free:
		case <-ctx.Done():
			return Failed
		}
		name := folders[rng.IntN(len(folders))] + "/file-" + strconv.Itoa(rng.IntN(8))
		err := transfer(c, name, rng.IntN(3) == 0, make([]byte, 1+rng.IntN(48<<10)))
		if err != nil && !refusedFile(err) { // the session may be gone
			c.Close()
			if next, again := connect(); again == nil {
				c = next
			}
		}
		free <- c
		switch {
		case err == nil:
			return Served
		case refusedFile(err):
			return Refused
		}
		return Failed
	}, end, nil
}

// transfer writes a file, or reads the beginning of it. One that isn't there yet is nothing to fail for.
func transfer(c *sftp.Client, name string, write bool, data []byte) error {
	if write {
		f, err := c.Create(name)
		if err != nil {
			return err
		}
		_, err = f.Write(data)
		if end := f.Close(); err == nil {
			err = end
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
