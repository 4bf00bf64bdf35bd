package routing_test

import (
	"context"
	"fmt"
	"testing"

	"otterturn/internal/net/routing"
	"otterturn/internal/testsupport"
	"otterturn/scheduler"
)

// recordingObserver is an Observer that records its calls and accepts no attempt at node "b".
type recordingObserver struct{ lines chan string }

func (o *recordingObserver) AttemptStarted(node, id string, attempt int) bool {
	o.lines <- fmt.Sprint("start ", node, " ", id, " ", attempt)
	return node != "b"
}

func (o *recordingObserver) AttemptEnded(node string, e scheduler.AttemptEnded) {
	o.lines <- fmt.Sprint("end ", node, " ", e.ID, " ", e.Attempt, " ", e.Result, " ", e.Alive)
}

// The observer is notified of the start and the end of each attempt, with node and number. It is not notified of the end of an
// attempt that it did not accept.
func TestObserverIsNotifiedOfEachAttempt(t *testing.T) {
	settings := testsupport.Settings()
	core, err := routing.New(settings, 1, testsupport.Limits(), func(node string) scheduler.HealthChecked {
		return scheduler.HealthChecked{Node: node, OK: true, Queue: -1}
	})
	if err != nil {
		t.Fatal(err)
	}
	o := &recordingObserver{lines: make(chan string, 64)}
	core.Observer = o
	ctx, end := context.WithCancel(t.Context())
	defer end()
	go core.Run(ctx)
	core.UpdateEndpoints(scheduler.EndpointsChanged{Full: true, Endpoints: []scheduler.Endpoint{{Node: "a"}, {Node: "b", Shard: 1}}})
	outcomes := []scheduler.AttemptEnded{{Result: scheduler.Reset, Alive: true}, {Result: scheduler.OK}}
	serve := func(_ context.Context, _ routing.Attempt) (int, scheduler.AttemptEnded) {
		o := outcomes[0]
		outcomes = outcomes[1:]
		return 1, o
	}
	if _, err := routing.Do(t.Context(), core, request("x"), serve); err != nil {
		t.Fatal(err)
	}
	outcomes = []scheduler.AttemptEnded{{Result: scheduler.OK}}
	unobserved := request("y")
	unobserved.Shard = 1
	if _, err := routing.Do(t.Context(), core, unobserved, serve); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"start a x 0", "end a x 0 broken true", "start a x 1", "end a x 1 answered false", "start b y 0"} {
		if got := testsupport.Await(t, want, o.lines); got != want {
			t.Errorf("observer got %q, want %q", got, want)
		}
	}
	select {
	case line := <-o.lines:
		t.Errorf("observer got %q in addition", line)
	default:
	}
}
