package processes

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	probeRate    = 200.0                  // maximum requests per second per front; they show to 5 ms when a change takes effect
	probeSum     = 1600.0                 // and of all fronts: more would load the machine and distort the figures
	changesFor   = 60 * time.Second       // maximum duration of the requests
	afterwards   = 300 * time.Millisecond // wait after a change, to see the last requests at the former node
	smallestList = 112
)

// heard is the cost of a change of the endpoint list.
type heard struct {
	fronts, listed int
	inForce        []float64 // milliseconds until the first request at the new node, per front
	former         []float64 // milliseconds until the last request at the former node, per front
	calls, lines   int64     // calls that discovery answered, and entries in the answers
	bytes          int64
}

// changes measures how long a change takes until it is in effect at all fronts, and what discovery sends for it.
func (l *Lab) changes(ctx context.Context) ([]Row, error) {
	var rows []Row
	bare := 0.0 // milliseconds after SIGHUP with agents, where no front delays the start of its watch
	for _, asked := range []bool{false, true} {
		var pushed, reread []heard
		for _, many := range l.Plan.Fronts {
			p, r, err := l.change(ctx, asked, many, smallestList)
			if err != nil {
				return rows, err
			}
			pushed, reread = append(pushed, p), append(reread, r)
		}
		if !asked {
			bare = slices.Max(reread[len(reread)-1].inForce)
		}
		rows = append(rows, l.heardRows(asked, bare, pushed, reread)...)
	}
	var sized []heard
	for _, listed := range l.Plan.Lists {
		_, r, err := l.change(ctx, false, 1, listed)
		if err != nil {
			return rows, err
		}
		sized = append(sized, r)
	}
	return append(rows, l.listRows(sized)...), nil
}

// change starts fronts that all request one shard from one node. First discovery reports that a second node has the shard.
// Then SIGHUP switches the fronts to another discovery, which lists a third node for it.
func (l *Lab) change(ctx context.Context, asked bool, many, listed int) (pushed, reread heard, err error) {
	nodes, err := startNodes(3)
	if err != nil {
		return heard{}, heard{}, err
	}
	defer closeNodes(nodes)
	at := func(n int, name string) Entry {
		e := entry(0, nodes[n].Addr)
		e.Host = name
		return e
	}
	list := listedWith(listed, at(0, "s-first"))
	before, err := l.discoveries(asked, many, list)
	defer closeDiscoveries(before)
	if err != nil {
		return heard{}, heard{}, err
	}
	c := config{asked: asked, memoryMB: todayMemoryMB, sockets: todaySockets, giveUp: patience, nodes: list, shards: listed}
	fronts, err := l.startAll(ctx, many, c, func(c *config) { c.discovery = before[c.number%len(before)].Addr })
	if err != nil {
		return heard{}, heard{}, err
	}
	defer killAll(fronts)
	asks, end := context.WithCancel(ctx)
	defer end()
	done := make(chan error, 1)
	go func() {
		_, err := askAll(asks, fronts, min(probeRate, probeSum/float64(many)), changesFor, 1)
		done <- err
	}()
	if err := l.watching(ctx, fronts, before, nodes[0]); err != nil {
		return heard{}, heard{}, err
	}
	gone := at(0, "s-first")
	gone.Health = "removed"
	if pushed, err = l.follow(ctx, fronts, before, nodes[0], nodes[1], func() error {
		for _, d := range before {
			d.Change(gone, at(1, "s-second"))
		}
		return nil
	}); err != nil {
		return heard{}, heard{}, err
	}
	after, err := l.discoveries(asked, many, listedWith(listed, at(2, "s-third")))
	defer closeDiscoveries(after)
	if err != nil {
		return heard{}, heard{}, err
	}
	reread, err = l.follow(ctx, fronts, after, nodes[1], nodes[2], func() error {
		for i, f := range fronts {
			if err := f.follow(after[i%len(after)].Addr); err != nil {
				return err
			}
		}
		return nil
	})
	end()
	pushed.listed, reread.listed = listed, listed
	l.logHeard(asked, "reported by discovery", pushed)
	l.logHeard(asked, "by SIGHUP", reread)
	<-done
	return pushed, reread, err
}

func (l *Lab) logHeard(asked bool, how string, h heard) {
	l.logf("%d fronts, %d nodes listed, %s, %s: in effect within %s ms, last request at the former node after %s ms; %d calls, %d lines, %d bytes",
		h.fronts, h.listed, mode(asked), how, short(slices.Max(h.inForce)), short(slices.Max(h.former)), h.calls, h.lines, h.bytes)
}

// listedWith returns a list of many nodes that begins with first; the others are unreachable.
func listedWith(many int, first Entry) []Entry {
	out := listed(many)
	out[0] = first
	return out
}

// discoveries starts one discovery for all fronts if fronts ask it, otherwise one per front.
func (l *Lab) discoveries(asked bool, many int, list []Entry) ([]*Discovery, error) {
	if asked {
		many = 1
	}
	var out []*Discovery
	for range many {
		d, err := startDiscovery(list)
		if err != nil {
			return out, err
		}
		out = append(out, d)
	}
	return out, nil
}

func closeDiscoveries(all []*Discovery) {
	for _, d := range all {
		d.Close()
	}
}

// watching waits until all fronts have started a watch and have had an attempt at node.
func (l *Lab) watching(ctx context.Context, fronts []*Front, discoveries []*Discovery, node *Node) error {
	return inTurn(fronts, func(i int, f *Front) error {
		return f.await(ctx, func() bool {
			_, served := node.came(f.mark())
			return served && discoveries[i%len(discoveries)].Begun.Load() >= int64(len(fronts)/len(discoveries))
		})
	})
}

// inTurn calls do for each front in order, up to the first error.
func inTurn(fronts []*Front, do func(int, *Front) error) error {
	for i, f := range fronts {
		if err := do(i, f); err != nil {
			return fmt.Errorf("front %d: %w", i, err)
		}
	}
	return nil
}

// follow makes a change, waits until all fronts have switched from one node to the other, and returns what the change cost.
func (l *Lab) follow(ctx context.Context, fronts []*Front, discoveries []*Discovery, from, to *Node, change func() error) (heard, error) {
	out := heard{fronts: len(fronts)}
	count := func(sign int64) {
		for _, d := range discoveries {
			out.calls += sign * d.Calls.Load()
			out.lines += sign * d.Lines.Load()
			out.bytes += sign * d.Sent.Load()
		}
	}
	count(-1)
	began := time.Now()
	if err := change(); err != nil {
		return out, err
	}
	err := inTurn(fronts, func(_ int, f *Front) error {
		return f.await(ctx, func() bool {
			_, served := to.came(f.mark())
			return served
		})
	})
	if err != nil {
		return out, err
	}
	count(1)
	rest(ctx, afterwards)
	for _, f := range fronts {
		last, _ := from.came(f.mark())
		first, _ := to.came(f.mark())
		out.inForce = append(out.inForce, milliseconds(first.first.Sub(began)))
		out.former = append(out.former, math.Max(0, milliseconds(last.last.Sub(began))))
	}
	return out, nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
