package routing_test

import (
	"context"
	"fmt"
	"testing"

	"otterturn/internal/net/routing"
	"otterturn/internal/standin"
	"otterturn/scheduler"
)

// observed keeps what an Observer hears, and takes no attempt at the node "b".
type observed struct{ lines chan string }

func (o *observed) AttemptStarted(node, id string, attempt int) bool {
	o.lines <- fmt.Sprint("start ", node, " ", id, " ", attempt)
	return node != "b"
}

func (o *observed) AttemptEnded(node string, e scheduler.AttemptEnded) {
	o.lines <- fmt.Sprint("end ", node, " ", e.ID, " ", e.Attempt, " ", e.Result, " ", e.Alive)
}

// Each attempt is told at its start and at its end, with its node and number; one that was not taken has no end.
func TestObserverHearsOfEachAttempt(t *testing.T) {
	set := standin.Settings()
	core, err := routing.New(set, 1, standin.Limits(), func(node string) scheduler.HealthChecked {
		return scheduler.HealthChecked{Node: node, OK: true, Queue: -1}
	})
	if err != nil {
		t.Fatal(err)
	}
	o := &observed{lines: make(chan string, 64)}
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
	untaken := request("y")
	untaken.Shard = 1
	if _, err := routing.Do(t.Context(), core, untaken, serve); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"start a x 0", "end a x 0 broken true", "start a x 1", "end a x 1 answered false", "start b y 0"} {
		if got := standin.Await(t, want, o.lines); got != want {
			t.Errorf("heard %q, want %q", got, want)
		}
	}
	select {
	case line := <-o.lines:
		t.Errorf("heard %q", line)
	default:
	}
}
