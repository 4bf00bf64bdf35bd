package routing_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"otterturn/internal/lifecycle"
	"otterturn/internal/limits"
	"otterturn/internal/net/routing"
	"otterturn/internal/testsupport"
	"otterturn/scheduler"
)

func request(id string) scheduler.Request {
	return scheduler.Request{ID: id, Volume: "v", Units: 1, Fronts: 1, TimeLeft: 5_000_000}
}

func newCore(t *testing.T) *routing.Core {
	core := testsupport.StartCore(t, testsupport.Settings(), nil)
	core.UpdateEndpoints(scheduler.EndpointsChanged{Full: true, Endpoints: []scheduler.Endpoint{{Node: "a"}}})
	return core
}

func TestRetriesUntilSuccess(t *testing.T) {
	core, results := newCore(t), []scheduler.Result{scheduler.Errored, scheduler.TimedOut, scheduler.OK}
	attempts := 0
	got, err := routing.Do(t.Context(), core, request("x"),
		func(ctx context.Context, a routing.Attempt) (string, scheduler.AttemptEnded) {
			attempts++
			if _, ok := ctx.Deadline(); !ok || a.Node != "a" {
				t.Errorf("attempt %d goes to node %q, or has no deadline", attempts, a.Node)
			}
			return fmt.Sprint("answer ", attempts), scheduler.AttemptEnded{Result: results[attempts-1]}
		})
	if err != nil || got != "answer 3" || attempts != 3 {
		t.Errorf("answer %q, error %v after %d attempts, want \"answer 3\" after 3", got, err, attempts)
	}
}

func TestFinalAnswerErrors(t *testing.T) {
	core := newCore(t)
	nonIdempotent := request("once")
	nonIdempotent.Class = 2 // not idempotent: must not run twice
	_, err := routing.Do(t.Context(), core, nonIdempotent, func(context.Context, routing.Attempt) (int, scheduler.AttemptEnded) {
		return 0, scheduler.AttemptEnded{Result: scheduler.Errored}
	})
	if !errors.Is(err, routing.ErrFailed) {
		t.Errorf("non-idempotent request after an attempt that may have run: got %v, want ErrFailed", err)
	}
	withoutNode := request("elsewhere")
	withoutNode.Shard = 1 // no node has this shard
	_, err = routing.Do(t.Context(), core, withoutNode, func(context.Context, routing.Attempt) (int, scheduler.AttemptEnded) {
		t.Error("request without a node was sent")
		return 0, scheduler.AttemptEnded{}
	})
	if rejected := new(routing.RejectedError); !errors.As(err, &rejected) {
		t.Errorf("request without a node: got %v, want a RejectedError", err)
	}
	if got := core.Tally(); got.Sum(routing.Failed) != 1 || got.Sum(routing.Rejected) != 1 || got.Sum(routing.Served) != 0 {
		t.Errorf("tally %+v", got)
	}
}

// A client leaves during the second attempt: the attempt continues to its outcome and its goroutine ends. The goroutine
// used to block forever on sending the answer.
func TestAttemptOutlivesItsClient(t *testing.T) {
	core := newCore(t)
	for i := range 20 {
		ctx, leave := context.WithCancel(t.Context())
		started, proceed, attempts := make(chan context.Context, 1), make(chan struct{}), 0
		done := make(chan error, 1)
		go func() {
			_, err := routing.Do(ctx, core, request(fmt.Sprint("left-", i)),
				func(attemptCtx context.Context, _ routing.Attempt) (int, scheduler.AttemptEnded) {
					if attempts++; attempts == 1 {
						return 0, scheduler.AttemptEnded{Result: scheduler.Errored}
					}
					started <- attemptCtx
					<-proceed
					return 0, scheduler.AttemptEnded{Result: scheduler.OK}
				})
			done <- err
		}()
		attemptCtx := testsupport.Await(t, "the second attempt", started)
		leave()
		if err := testsupport.Await(t, "the end of the request", done); !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
		if attemptCtx.Err() != nil {
			t.Fatal("the attempt ended when its client left")
		}
		close(proceed)
		testsupport.Await(t, "the end of the attempt", attemptCtx.Done())
	}
}

// An id is in use until the last attempt of its request has ended: otherwise the outcome of the first request would end a
// second one. The end of a rejected duplicate's client must not end the first request. The id stays used afterwards, or a
// request that may run only once would run again.
func TestDuplicateIDIsRejected(t *testing.T) {
	core := newCore(t)
	started, proceed := make(chan context.Context, 1), make(chan struct{})
	serve := func(attemptCtx context.Context, _ routing.Attempt) (int, scheduler.AttemptEnded) {
		started <- attemptCtx
		<-proceed
		return 1, scheduler.AttemptEnded{Result: scheduler.OK}
	}
	failIfSent := func(context.Context, routing.Attempt) (int, scheduler.AttemptEnded) {
		t.Error("a second request with the id was sent")
		return 0, scheduler.AttemptEnded{}
	}
	first, leave := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := routing.Do(first, core, request("same"), serve)
		done <- err
	}()
	attemptCtx := testsupport.Await(t, "the attempt", started)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		routing.Do(cancelled, core, request("same"), failIfSent)
	}
	select {
	case err := <-done:
		t.Fatalf("the first request ended when the client of a duplicate left: %v", err)
	default:
	}
	leave()
	testsupport.Await(t, "the end of the first request", done)
	if _, err := routing.Do(t.Context(), core, request("same"), failIfSent); !errors.Is(err, routing.ErrDuplicate) {
		t.Errorf("duplicate during the first request's attempt: got %v, want ErrDuplicate", err)
	}
	close(proceed)
	testsupport.Await(t, "the end of the attempt", attemptCtx.Done())
	// Faulty clients send copies of answered requests. Such a copy was sent to its node up to four more times.
	if _, err := routing.Do(t.Context(), core, request("same"), failIfSent); !errors.Is(err, routing.ErrDuplicate) {
		t.Errorf("duplicate after the first request's end: got %v, want ErrDuplicate", err)
	}
}

// A retry must begin within the deduplication window of the nodes, which starts with the first attempt. A retry that was
// decided on in time was still written after the window if its connection came up late.
func TestRetryBeginsWithinDedupWindow(t *testing.T) {
	settings := testsupport.Settings()
	settings.Classes[1].DedupWindow = 1_000_000
	core := testsupport.StartCore(t, settings, nil)
	core.UpdateEndpoints(scheduler.EndpointsChanged{Full: true, Endpoints: []scheduler.Endpoint{{Node: "a"}}})
	keyed, startedAt, attempts := request("keyed"), time.Now(), 0
	keyed.Class = 1
	_, err := routing.Do(t.Context(), core, keyed, func(ctx context.Context, a routing.Attempt) (int, scheduler.AttemptEnded) {
		attempts++
		deadline, _ := ctx.Deadline()
		beginBy, _ := a.BeginContext.Deadline()
		switch {
		case attempts == 1 && !beginBy.Equal(deadline):
			t.Errorf("the first attempt may begin until %v, want its deadline %v", beginBy, deadline)
		case attempts == 2 && (beginBy.After(time.Now().Add(time.Second)) || beginBy.Before(startedAt)):
			t.Errorf("the second attempt may begin until %v after the first, want within the window of 1 s", beginBy.Sub(startedAt))
		}
		if attempts < 2 {
			return 0, scheduler.AttemptEnded{Result: scheduler.Errored}
		}
		<-a.BeginContext.Done() // the connection comes up too late
		return 0, scheduler.AttemptEnded{Result: scheduler.NotStarted}
	})
	if !errors.Is(err, routing.ErrFailed) || attempts != 2 {
		t.Errorf("got %v after %d attempts, want ErrFailed after 2", err, attempts)
	}
}

// Clients may leave at any time, also between the scheduler's decision and the start of the attempt. The scheduler must be
// notified of the end of each attempt, or it would count it as outstanding forever and send the node no more requests.
func TestClientsLeavingAtAnyTime(t *testing.T) {
	core := newCore(t)
	serve := func(context.Context, routing.Attempt) (int, scheduler.AttemptEnded) {
		return 0, scheduler.AttemptEnded{Result: scheduler.OK}
	}
	for i := range 5000 {
		ctx, leave := context.WithTimeout(t.Context(), time.Duration(i%50)*time.Microsecond)
		routing.Do(ctx, core, request(fmt.Sprint("gone-", i)), serve)
		leave()
	}
	if _, err := routing.Do(t.Context(), core, request("last"), serve); err != nil {
		t.Error(err)
	}
	if got := core.Tally(); got.Open != 0 || got.Sum(routing.Served)+got.ClientsLeft != 5001 {
		t.Errorf("tally %+v", got)
	}
}

// An attempt may take long to find out whether its node is alive. The final answer must come at the request's deadline all the
// same, without the outcome of the attempt.
func TestOverdueRequestIsAnsweredWithoutItsAttempt(t *testing.T) {
	core, proceed := newCore(t), make(chan struct{})
	defer close(proceed)
	r := request("x")
	r.TimeLeft = 50_000
	startedAt := time.Now()
	_, err := routing.Do(t.Context(), core, r, func(context.Context, routing.Attempt) (int, scheduler.AttemptEnded) {
		<-proceed
		return 0, scheduler.AttemptEnded{Result: scheduler.Reset}
	})
	if !errors.Is(err, routing.ErrFailed) || time.Since(startedAt) > testsupport.WaitTimeout/2 || core.Tally().EndedOverdue != 1 {
		t.Errorf("got %v after %v, tally %+v; want ErrFailed at the deadline", err, time.Since(startedAt), core.Tally())
	}
}

// Requests that are open when the answers of a shutdown are due must get their final answer then, whatever their attempts do.
// Later requests are rejected at once and never sent.
func TestShutdownAnswersOpenRequests(t *testing.T) {
	core, started, proceed := newCore(t), make(chan struct{}), make(chan struct{})
	stop := limits.NewStopLimits(time.Second)
	stop.Answer = 100 * time.Millisecond
	core.Guard = lifecycle.New(stop, slog.New(slog.DiscardHandler))
	defer close(proceed)
	ended := make(chan error, 1)
	go func() {
		_, err := routing.Do(t.Context(), core, request("open"), func(context.Context, routing.Attempt) (int, scheduler.AttemptEnded) {
			close(started)
			<-proceed
			return 0, scheduler.AttemptEnded{Result: scheduler.TimedOut}
		})
		ended <- err
	}()
	testsupport.Await(t, "the attempt", started)
	core.Guard.BeginShutdown(time.Now())
	if err := testsupport.Await(t, "the final answer", ended); !errors.Is(err, routing.ErrFailed) {
		t.Errorf("open request: got %v, want ErrFailed", err)
	}
	_, err := routing.Do(t.Context(), core, request("late"), func(context.Context, routing.Attempt) (int, scheduler.AttemptEnded) {
		t.Error("request was sent during the shutdown")
		return 0, scheduler.AttemptEnded{}
	})
	if rejected := new(routing.RejectedError); !errors.As(err, &rejected) {
		t.Errorf("request during the shutdown: got %v, want a RejectedError", err)
	}
	if got := core.Tally(); got.EndedByShutdown != 1 || got.Open != 0 {
		t.Errorf("tally %+v, want one request ended by the shutdown and none open", got)
	}
}
