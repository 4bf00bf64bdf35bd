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
	"otterturn/internal/standin"
)

// Many clients at once: no more are in than there is room for, every one is let in or refused, and the room is free after.
func TestManyAtOnce(t *testing.T) {
	g := New(admission.Config{Room: 8, Waiting: 64, MaxRetryAfter: 1000}, standin.Patience)
	var in, most, served, refused atomic.Int64
	var all sync.WaitGroup
	for i := range 5000 {
		all.Go(func() {
			leave, err := g.Enter(t.Context(), fmt.Sprint(i%100), fmt.Sprint(i), 1, 1, standin.Patience)
			if err != nil {
				refused.Add(1)
				return
			}
			now := in.Add(1)
			for was := most.Load(); now > was && !most.CompareAndSwap(was, now); was = most.Load() {
			}
			served.Add(1)
			in.Add(-1)
			leave()
		})
	}
	all.Wait()
	if most.Load() > 8 || served.Load()+refused.Load() != 5000 || served.Load() < 8 || g.Waiting() != 0 {
		t.Errorf("%d were in at a time, %d served, %d refused, %d wait", most.Load(), served.Load(), refused.Load(), g.Waiting())
	}
	if leave, err := g.Enter(t.Context(), "after", "", 1, 1, 0); err != nil {
		t.Errorf("after all of it: %v", err)
	} else {
		leave()
	}
}

func TestWaitsEnd(t *testing.T) {
	g := New(admission.Config{Room: 1, Waiting: 4, MaxRetryAfter: 5_000_000}, standin.Patience)
	leave, err := g.Enter(t.Context(), "a", "", 1, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	var refused *routing.RejectedError
	if _, err := g.Enter(t.Context(), "b", "", 1, 1, time.Millisecond); !errors.As(err, &refused) || refused.RetryAfter <= 0 {
		t.Errorf("one whose time is up: %v", err)
	}
	gone := errors.New("gone")
	ctx, end := context.WithCancelCause(t.Context())
	done := make(chan error, 2)
	go func() {
		_, err := g.Enter(ctx, "c", "", 1, 1, standin.Patience)
		done <- err
	}()
	standin.Until(t, "a wait", func() bool { return g.Waiting() == 1 })
	end(gone)
	if err := standin.Await(t, "the end of a client that left", done); !errors.Is(err, gone) || g.Waiting() != 0 {
		t.Errorf("%v, %d wait", err, g.Waiting())
	}
	go func() {
		last, err := g.Enter(t.Context(), "d", "", 1, 1, standin.Patience)
		if err == nil {
			last()
		}
		done <- err
	}()
	standin.Until(t, "a wait", func() bool { return g.Waiting() == 1 })
	leave()
	if err := standin.Await(t, "the next one", done); err != nil {
		t.Error(err)
	}
}
