package processes

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// startsUp is the wait after the start of a front until its processor time is free of start-up work.
const startsUp = 2 * time.Second

// idle measures the cost of control in a front without requests, by the number of listed nodes. The front is configured with
// as many peers as the full fleet has.
func (l *Lab) idle(ctx context.Context) ([]Row, error) {
	var rows []Row
	for _, asked := range []bool{false, true} {
		more, err := l.idleBy(ctx, asked)
		if err != nil {
			return rows, err
		}
		rows = append(rows, more...)
	}
	return rows, nil
}

func (l *Lab) idleBy(ctx context.Context, asked bool) ([]Row, error) {
	all, errs := make([]quietly, len(l.Plan.Lists)), make([]error, len(l.Plan.Lists))
	var wait sync.WaitGroup
	for i, many := range l.Plan.Lists { // concurrently: the fronts wait nearly all of the time
		wait.Go(func() { all[i], errs[i] = l.idleFront(ctx, asked, many) })
	}
	wait.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	var processor, memory, switches, bytes []float64
	for i, q := range all {
		processor = append(processor, float64(q.Processor.Microseconds())/q.seconds)
		memory, switches, bytes = append(memory, float64(q.Resident)), append(switches, float64(q.Switches)/q.seconds), append(bytes, q.sent/q.seconds)
		l.logf("idle, %d nodes listed, %s: %.3f%% of a core, %.1f MB, %.0f wakeups per second, %.0f bytes per second of discovery", l.Plan.Lists[i], mode(asked),
			processor[i]/1e4, memory[i]/(1<<20), switches[i], bytes[i])
	}
	counts, sized := floats(l.Plan.Lists), sizes(l.Plan.Lists, "nodes listed")
	time, size, wakes, heard := fit(counts, processor), fit(counts, memory), fit(counts, switches), fit(counts, bytes)
	with := ", " + mode(asked)
	return []Row{
		{
			Measure: "processor time of control when idle" + with, Sizes: sized, Fit: time, Unit: "us a second a node", Value: time.At(sizeNodes) / 1e4,
			In: "% of a core", Budget: budgetProcessor, Note: fmt.Sprintf("%s wakeups of a thread a second", short(wakes.At(sizeNodes))),
		},
		{
			Measure: "memory of a listed node" + with, Sizes: sized, Fit: size, Unit: "bytes", Value: size.At(sizeNodes) / (1 << 20), In: "MB", Budget: budgetMemory,
			Note: "a front without clients, 1,200 fronts named",
		},
		{
			Measure: "bytes of discovery when idle" + with, Sizes: sized, Fit: heard, Unit: "bytes a second a node",
			Value: heard.At(sizeNodes) / 1024, In: "KB a second", Budget: budgetBytes, Note: "watches without news",
		},
	}, nil
}

func mode(asked bool) string {
	if asked {
		return "one discovery, asked"
	}
	return "pushed to an agent each"
}

// quietly is the usage of an idle front.
type quietly struct {
	Usage
	sent    float64 // bytes that discovery sent
	seconds float64
}

// idleFront measures an idle front and what discovery sends to it.
func (l *Lab) idleFront(ctx context.Context, asked bool, many int) (quietly, error) {
	list := listed(many)
	d, err := startDiscovery(list)
	if err != nil {
		return quietly{}, err
	}
	defer d.Close()
	front, err := l.start(ctx, config{
		discovery: d.Addr, asked: asked, fronts: sizeFronts, peerListen: ownAddress(), peers: elsewhere(sizeFronts),
		memoryMB: int(budgetMemory), sockets: wideSockets, giveUp: patience, nodes: list, shards: many,
	})
	if err != nil {
		return quietly{}, err
	}
	defer front.Kill()
	rest(ctx, startsUp)
	before, err := front.Usage()
	if err != nil {
		return quietly{}, err
	}
	began, had := time.Now(), d.Sent.Load()
	rest(ctx, l.Plan.Span)
	after, err := front.Usage()
	return quietly{after.Since(before), float64(d.Sent.Load() - had), time.Since(began).Seconds()}, err
}

// elsewhere returns many peer addresses without a listener.
func elsewhere(many int) []string {
	var out []string
	for i := range many {
		out = append(out, fmt.Sprintf("127.255.%d.%d:9", i/250, i%250+1))
	}
	return out
}
