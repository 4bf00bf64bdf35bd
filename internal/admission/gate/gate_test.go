package gate

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"otterturn/internal/admission"
	"otterturn/internal/net/routing"
	"otterturn/internal/testsupport"
)

// Many concurrent calls: at most 8 requests are admitted at the same time, each one is admitted or rejected, and a request is
// admitted at once afterwards.
func TestConcurrentRequests(t *testing.T) {
	g := New(admission.Config{MaxAdmitted: 8, MaxWaiting: 64, MaxRetryAfter: 1000}, testsupport.WaitTimeout)
	var admitted, maxAdmitted, served, rejected atomic.Int64
	var callers sync.WaitGroup
	for i := range 5000 {
		callers.Go(func() {
			release, err := g.Acquire(t.Context(), fmt.Sprint(i%100), fmt.Sprint(i), 1, 1, testsupport.WaitTimeout)
			if err != nil {
				rejected.Add(1)
				return
			}
			now := admitted.Add(1)
			for highest := maxAdmitted.Load(); now > highest && !maxAdmitted.CompareAndSwap(highest, now); highest = maxAdmitted.Load() {
			}
			served.Add(1)
			admitted.Add(-1)
			release()
		})
	}
	callers.Wait()
	if maxAdmitted.Load() > 8 || served.Load()+rejected.Load() != 5000 || served.Load() < 8 || g.Waiting() != 0 {
		t.Errorf("%d admitted at the same time, want at most 8; %d served and %d rejected, want 5000 in total; %d waiting, want 0",
			maxAdmitted.Load(), served.Load(), rejected.Load(), g.Waiting())
	}
	if release, err := g.Acquire(t.Context(), "after", "", 1, 1, 0); err != nil {
		t.Errorf("request after all others: %v", err)
	} else {
		release()
	}
}

func TestWaitEndsByTimeoutDisconnectOrAdmission(t *testing.T) {
	g := New(admission.Config{MaxAdmitted: 1, MaxWaiting: 4, MaxRetryAfter: 5_000_000}, testsupport.WaitTimeout)
	release, err := g.Acquire(t.Context(), "a", "", 1, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	var rejected *routing.RejectedError
	if _, err := g.Acquire(t.Context(), "b", "", 1, 1, time.Millisecond); !errors.As(err, &rejected) || rejected.RetryAfter <= 0 {
		t.Errorf("request whose time ran out: error %v, want a rejection with a time to retry", err)
	}
	disconnected := errors.New("client disconnected")
	ctx, end := context.WithCancelCause(t.Context())
	done := make(chan error, 2)
	go func() {
		_, err := g.Acquire(ctx, "c", "", 1, 1, testsupport.WaitTimeout)
		done <- err
	}()
	testsupport.WaitFor(t, "a waiting request", func() bool { return g.Waiting() == 1 })
	end(disconnected)
	if err := testsupport.Await(t, "the end of a request whose client disconnected", done); !errors.Is(err, disconnected) || g.Waiting() != 0 {
		t.Errorf("request whose client disconnected: error %v, want client disconnected; %d waiting, want 0", err, g.Waiting())
	}
	go func() {
		releaseNext, err := g.Acquire(t.Context(), "d", "", 1, 1, testsupport.WaitTimeout)
		if err == nil {
			releaseNext()
		}
		done <- err
	}()
	testsupport.WaitFor(t, "a waiting request", func() bool { return g.Waiting() == 1 })
	release()
	if err := testsupport.Await(t, "the admission of the waiting request", done); err != nil {
		t.Error(err)
	}
}
