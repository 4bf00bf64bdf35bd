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
	"otterturn/internal/standin"
	"otterturn/scheduler"
)

func request(id string) scheduler.Request {
	return scheduler.Request{ID: id, Volume: "v", Units: 1, Fronts: 1, TimeLeft: 5_000_000}
}

func newCore(t *testing.T) *routing.Core {
	core := standin.Core(t, standin.Settings(), nil)
	core.UpdateEndpoints(scheduler.EndpointsChanged{Full: true, Endpoints: []scheduler.Endpoint{{Node: "a"}}})
	return core
}

func TestAttemptsUntilTheAnswer(t *testing.T) {
	core, results := newCore(t), []scheduler.Result{scheduler.Errored, scheduler.TimedOut, scheduler.OK}
	tries := 0
	got, err := routing.Do(t.Context(), core, request("x"),
		func(ctx context.Context, a routing.Attempt) (string, scheduler.AttemptEnded) {
			tries++
			if _, ok := ctx.Deadline(); !ok || a.Node != "a" {
				t.Errorf("attempt %d goes to node %q, or has no deadline", tries, a.Node)
			}
			return fmt.Sprint("answer ", tries), scheduler.AttemptEnded{Result: results[tries-1]}
		})
	if err != nil || got != "answer 3" || tries != 3 {
		t.Errorf("answer %q, error %v after %d attempts, want \"answer 3\" after 3", got, err, tries)
	}
}

func TestFinalAnswers(t *testing.T) {
	core := newCore(t)
	once := request("once")
	once.Class = 2 // not idempotent: must not run twice
	_, err := routing.Do(t.Context(), core, once, func(context.Context, routing.Attempt) (int, scheduler.AttemptEnded) {
		return 0, scheduler.AttemptEnded{Result: scheduler.Errored}
	})
	if !errors.Is(err, routing.ErrFailed) {
		t.Errorf("non-idempotent request after an attempt that may have run: got %v, want ErrFailed", err)
	}
	elsewhere := request("elsewhere")
	elsewhere.Shard = 1 // no node has this shard
	_, err = routing.Do(t.Context(), core, elsewhere, func(context.Context, routing.Attempt) (int, scheduler.AttemptEnded) {
		t.Error("request without a node was sent")
		return 0, scheduler.AttemptEnded{}
	})
	if refused := new(routing.RejectedError); !errors.As(err, &refused) {
		t.Errorf("request without a node: got %v, want a RejectedError", err)
	}
	if got := core.Tally(); got.Sum(routing.Failed) != 1 || got.Sum(routing.Rejected) != 1 || got.Sum(routing.Served) != 0 {
		t.Errorf("tally %+v", got)
	}
}

// A client leaves during the second attempt: the attempt continues to its outcome and its goroutine ends. The goroutine
// used to block forever on sending the answer.
func TestAttemptOfAClientThatLeftEnds(t *testing.T) {
	core := newCore(t)
	for i := range 20 {
		ctx, leave := context.WithCancel(t.Context())
		out, goOn, tries := make(chan context.Context, 1), make(chan struct{}), 0
		done := make(chan error, 1)
		go func() {
			_, err := routing.Do(ctx, core, request(fmt.Sprint("left-", i)),
				func(own context.Context, _ routing.Attempt) (int, scheduler.AttemptEnded) {
					if tries++; tries == 1 {
						return 0, scheduler.AttemptEnded{Result: scheduler.Errored}
					}
					out <- own
					<-goOn
					return 0, scheduler.AttemptEnded{Result: scheduler.OK}
				})
			done <- err
		}()
		own := standin.Await(t, "the second attempt", out)
		leave()
		if err := standin.Await(t, "the end of the request", done); !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
		if own.Err() != nil {
			t.Fatal("the attempt ended when its client left")
		}
		close(goOn)
		standin.Await(t, "the end of the attempt", own.Done())
	}
}

// An id is in use until the last attempt of its request has ended: otherwise the outcome of the first request would end a
// second one. The end of a rejected duplicate's client must not end the first request. The id stays used afterwards, or a
// request that may run only once would run again.
func TestIdInUse(t *testing.T) {
	core := newCore(t)
	out, goOn := make(chan context.Context, 1), make(chan struct{})
	wait := func(own context.Context, _ routing.Attempt) (int, scheduler.AttemptEnded) {
		out <- own
		<-goOn
		return 1, scheduler.AttemptEnded{Result: scheduler.OK}
	}
	refuse := func(context.Context, routing.Attempt) (int, scheduler.AttemptEnded) {
		t.Error("a second request with the id was sent")
		return 0, scheduler.AttemptEnded{}
	}
	first, leave := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := routing.Do(first, core, request("same"), wait)
		done <- err
	}()
	own := standin.Await(t, "the attempt", out)
	gone, end := context.WithCancel(t.Context())
	end()
	for range 100 {
		routing.Do(gone, core, request("same"), refuse)
	}
	select {
	case err := <-done:
		t.Fatalf("the first request ended when the client of a duplicate left: %v", err)
	default:
	}
	leave()
	standin.Await(t, "the end of the first request", done)
	if _, err := routing.Do(t.Context(), core, request("same"), refuse); !errors.Is(err, routing.ErrDuplicate) {
		t.Errorf("duplicate during the first request's attempt: got %v, want ErrDuplicate", err)
	}
	close(goOn)
	standin.Await(t, "the end of the attempt", own.Done())
	// Faulty clients send copies of answered requests. Such a copy was sent to its node up to four more times.
	if _, err := routing.Do(t.Context(), core, request("same"), refuse); !errors.Is(err, routing.ErrDuplicate) {
		t.Errorf("duplicate after the first request's end: got %v, want ErrDuplicate", err)
	}
}

// A retry must begin within the deduplication window of the nodes, which starts with the first attempt. A retry that was
// decided on in time was still written after the window if its connection came up late.
func TestRepeatBeginsWithinItsWindow(t *testing.T) {
	set := standin.Settings()
	set.Classes[1].DedupWindow = 1_000_000
	core := standin.Core(t, set, nil)
	core.UpdateEndpoints(scheduler.EndpointsChanged{Full: true, Endpoints: []scheduler.Endpoint{{Node: "a"}}})
	keyed, began, tries := request("keyed"), time.Now(), 0
	keyed.Class = 1
	_, err := routing.Do(t.Context(), core, keyed, func(ctx context.Context, a routing.Attempt) (int, scheduler.AttemptEnded) {
		tries++
		last, _ := ctx.Deadline()
		begin, _ := a.MayBegin.Deadline()
		switch {
		case tries == 1 && !begin.Equal(last):
			t.Errorf("the first attempt may begin until %v, want its deadline %v", begin, last)
		case tries == 2 && (begin.After(time.Now().Add(time.Second)) || begin.Before(began)):
			t.Errorf("the second attempt may begin until %v after the first, want within the window of 1 s", begin.Sub(began))
		}
		if tries < 2 {
			return 0, scheduler.AttemptEnded{Result: scheduler.Errored}
		}
		<-a.MayBegin.Done() // the connection comes up too late
		return 0, scheduler.AttemptEnded{Result: scheduler.NotStarted}
	})
	if !errors.Is(err, routing.ErrFailed) || tries != 2 {
		t.Errorf("got %v after %d attempts, want ErrFailed after 2", err, tries)
	}
}

// Clients may leave at any time, also between the scheduler's decision and the start of the attempt. The scheduler must be
// told of the end of each attempt, or it would count it as outstanding forever and send the node no more requests.
func TestClientsThatLeaveAtAnyMoment(t *testing.T) {
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
func TestFinalAnswerWaitsForNoAttempt(t *testing.T) {
	core, goOn := newCore(t), make(chan struct{})
	defer close(goOn)
	r := request("x")
	r.TimeLeft = 50_000
	began := time.Now()
	_, err := routing.Do(t.Context(), core, r, func(context.Context, routing.Attempt) (int, scheduler.AttemptEnded) {
		<-goOn
		return 0, scheduler.AttemptEnded{Result: scheduler.Reset}
	})
	if !errors.Is(err, routing.ErrFailed) || time.Since(began) > standin.Patience/2 || core.Tally().EndedOverdue != 1 {
		t.Errorf("got %v after %v, tally %+v; want ErrFailed at the deadline", err, time.Since(began), core.Tally())
	}
}

// Requests that are open when the answers of a shutdown are due must get their final answer then, whatever their attempts do.
// Later requests are rejected at once and never sent.
func TestShutdownAnswersWhatIsOpen(t *testing.T) {
	core, begun, goOn := newCore(t), make(chan struct{}), make(chan struct{})
	stop := limits.Stop(time.Second)
	stop.Answer = 100 * time.Millisecond
	core.Guard = lifecycle.New(stop, slog.New(slog.DiscardHandler))
	defer close(goOn)
	ended := make(chan error, 1)
	go func() {
		_, err := routing.Do(t.Context(), core, request("open"), func(context.Context, routing.Attempt) (int, scheduler.AttemptEnded) {
			close(begun)
			<-goOn
			return 0, scheduler.AttemptEnded{Result: scheduler.TimedOut}
		})
		ended <- err
	}()
	standin.Await(t, "the attempt", begun)
	core.Guard.BeginShutdown(time.Now())
	if err := standin.Await(t, "the final answer", ended); !errors.Is(err, routing.ErrFailed) {
		t.Errorf("open request: got %v, want ErrFailed", err)
	}
	_, err := routing.Do(t.Context(), core, request("late"), func(context.Context, routing.Attempt) (int, scheduler.AttemptEnded) {
		t.Error("request was sent during the shutdown")
		return 0, scheduler.AttemptEnded{}
	})
	if refused := new(routing.RejectedError); !errors.As(err, &refused) {
		t.Errorf("request during the shutdown: got %v, want a RejectedError", err)
	}
	if got := core.Tally(); got.EndedByShutdown != 1 || got.Open != 0 {
		t.Errorf("tally %+v, want one request ended by the shutdown and none open", got)
	}
}
