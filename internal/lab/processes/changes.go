package processes

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	observationRate = 200.0                  // maximum requests per second per front; they show to 5 ms when a change takes effect
	maxTotalRate    = 1600.0                 // maximum of all fronts: more would load the machine and distort the figures
	maxLoadTime     = 60 * time.Second       // maximum duration of the requests
	lastRequestWait = 300 * time.Millisecond // wait after a change, to see the last requests at the former node
	baseListLength  = 112
)

// changeCost is the cost of a change of the endpoint list.
type changeCost struct {
	fronts, listedNodes int
	newNodeMs           []float64 // milliseconds until the first request at the new node, per front
	oldNodeMs           []float64 // milliseconds until the last request at the former node, per front
	calls, entries      int64     // calls that discovery answered, and entries in the answers
	bytes               int64
}

// measureChanges measures how long a change takes until it is in effect at all fronts, and what discovery sends for it.
func (l *Lab) measureChanges(ctx context.Context) ([]Row, error) {
	var rows []Row
	agentReloadMs := 0.0 // milliseconds after SIGHUP with agents, where no front delays the start of its watch
	for _, onRequest := range []bool{false, true} {
		var pushed, reloaded []changeCost
		for _, count := range l.Plan.Fronts {
			p, r, err := l.measureChange(ctx, onRequest, count, baseListLength)
			if err != nil {
				return rows, err
			}
			pushed, reloaded = append(pushed, p), append(reloaded, r)
		}
		if !onRequest {
			agentReloadMs = slices.Max(reloaded[len(reloaded)-1].newNodeMs)
		}
		rows = append(rows, l.changeRows(onRequest, agentReloadMs, pushed, reloaded)...)
	}
	var byLength []changeCost
	for _, listed := range l.Plan.Lists {
		_, r, err := l.measureChange(ctx, false, 1, listed)
		if err != nil {
			return rows, err
		}
		byLength = append(byLength, r)
	}
	return append(rows, l.listLengthRows(byLength)...), nil
}

// measureChange starts fronts that all request one shard from one node. First discovery reports that a second node has the
// shard. Then SIGHUP switches the fronts to another discovery, which lists a third node for it.
func (l *Lab) measureChange(ctx context.Context, onRequest bool, count, listLength int) (pushed, reloaded changeCost, err error) {
	nodes, err := startNodes(3)
	if err != nil {
		return changeCost{}, changeCost{}, err
	}
	defer closeNodes(nodes)
	entryOf := func(n int, name string) Entry {
		e := entry(0, nodes[n].Addr)
		e.Host = name
		return e
	}
	list := listBeginningWith(listLength, entryOf(0, "s-first"))
	before, err := l.startDiscoveries(onRequest, count, list)
	defer closeDiscoveries(before)
	if err != nil {
		return changeCost{}, changeCost{}, err
	}
	c := config{
		onRequest: onRequest, memoryMB: todayMemoryMB, sockets: todaySockets, clientTimeout: defaultClientTimeout, nodes: list,
		shards: listLength,
	}
	fronts, err := l.startAll(ctx, count, c, func(c *config) { c.discovery = before[c.number%len(before)].Addr })
	if err != nil {
		return changeCost{}, changeCost{}, err
	}
	defer killAll(fronts)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	done := make(chan error, 1)
	go func() {
		_, err := sendLoadToAll(loadCtx, fronts, min(observationRate, maxTotalRate/float64(count)), maxLoadTime, 1)
		done <- err
	}()
	if err := l.awaitWatches(ctx, fronts, before, nodes[0]); err != nil {
		return changeCost{}, changeCost{}, err
	}
	removed := entryOf(0, "s-first")
	removed.Health = "removed"
	if pushed, err = l.measureSwitch(ctx, fronts, before, nodes[0], nodes[1], func() error {
		for _, d := range before {
			d.Change(removed, entryOf(1, "s-second"))
		}
		return nil
	}); err != nil {
		return changeCost{}, changeCost{}, err
	}
	after, err := l.startDiscoveries(onRequest, count, listBeginningWith(listLength, entryOf(2, "s-third")))
	defer closeDiscoveries(after)
	if err != nil {
		return changeCost{}, changeCost{}, err
	}
	reloaded, err = l.measureSwitch(ctx, fronts, after, nodes[1], nodes[2], func() error {
		for i, f := range fronts {
			if err := f.switchDiscovery(after[i%len(after)].Addr); err != nil {
				return err
			}
		}
		return nil
	})
	stopLoad()
	pushed.listedNodes, reloaded.listedNodes = listLength, listLength
	l.logChange(onRequest, "reported by discovery", pushed)
	l.logChange(onRequest, "by SIGHUP", reloaded)
	<-done
	return pushed, reloaded, err
}

func (l *Lab) logChange(onRequest bool, how string, cost changeCost) {
	l.logf("%d fronts, %d nodes listed, %s, %s: in effect within %s ms, last at the former node after %s ms; %d calls, %d entries, %d bytes",
		cost.fronts, cost.listedNodes, modeName(onRequest), how, formatNumber(slices.Max(cost.newNodeMs)),
		formatNumber(slices.Max(cost.oldNodeMs)), cost.calls, cost.entries, cost.bytes)
}

// listBeginningWith returns a list of count nodes that begins with first; the others are unreachable.
func listBeginningWith(count int, first Entry) []Entry {
	out := unusedEntries(count)
	out[0] = first
	return out
}

// startDiscoveries starts one discovery for all fronts if fronts ask it, otherwise one per front.
func (l *Lab) startDiscoveries(onRequest bool, count int, list []Entry) ([]*Discovery, error) {
	if onRequest {
		count = 1
	}
	var out []*Discovery
	for range count {
		discovery, err := startDiscovery(list)
		if err != nil {
			return out, err
		}
		out = append(out, discovery)
	}
	return out, nil
}

func closeDiscoveries(all []*Discovery) {
	for _, d := range all {
		d.Close()
	}
}

// awaitWatches waits until all fronts have started a watch and have had an attempt at node.
func (l *Lab) awaitWatches(ctx context.Context, fronts []*Front, discoveries []*Discovery, node *Node) error {
	return forEachFront(fronts, func(i int, f *Front) error {
		return f.await(ctx, func() bool {
			_, served := node.attemptTimes(f.idPrefix())
			return served && discoveries[i%len(discoveries)].CallsReceived.Load() >= int64(len(fronts)/len(discoveries))
		})
	})
}

// forEachFront calls do for each front in order, up to the first error.
func forEachFront(fronts []*Front, do func(int, *Front) error) error {
	for i, f := range fronts {
		if err := do(i, f); err != nil {
			return fmt.Errorf("front %d: %w", i, err)
		}
	}
	return nil
}

// measureSwitch makes a change, waits until all fronts have switched from one node to the other, and returns the cost.
func (l *Lab) measureSwitch(ctx context.Context, fronts []*Front, sources []*Discovery, from, to *Node, do func() error) (changeCost,
	error,
) {
	cost := changeCost{fronts: len(fronts)}
	addCounters := func(sign int64) {
		for _, d := range sources {
			cost.calls += sign * d.CallsAnswered.Load()
			cost.entries += sign * d.EntriesSent.Load()
			cost.bytes += sign * d.BytesSent.Load()
		}
	}
	addCounters(-1)
	began := time.Now()
	if err := do(); err != nil {
		return cost, err
	}
	err := forEachFront(fronts, func(_ int, f *Front) error {
		return f.await(ctx, func() bool {
			_, served := to.attemptTimes(f.idPrefix())
			return served
		})
	})
	if err != nil {
		return cost, err
	}
	addCounters(1)
	wait(ctx, lastRequestWait)
	for _, f := range fronts {
		last, _ := from.attemptTimes(f.idPrefix())
		first, _ := to.attemptTimes(f.idPrefix())
		cost.newNodeMs = append(cost.newNodeMs, milliseconds(first.first.Sub(began)))
		cost.oldNodeMs = append(cost.oldNodeMs, math.Max(0, milliseconds(last.last.Sub(began))))
	}
	return cost, nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
