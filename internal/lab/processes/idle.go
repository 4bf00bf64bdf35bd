package processes

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// startUpTime is the wait after the start of a front until its processor time is free of start-up work.
const startUpTime = 2 * time.Second

// measureIdle measures the cost of control in a front without requests, by the number of listed nodes. The front is
// configured with as many peers as the full fleet has.
func (l *Lab) measureIdle(ctx context.Context) ([]Row, error) {
	var rows []Row
	for _, onRequest := range []bool{false, true} {
		more, err := l.idleRows(ctx, onRequest)
		if err != nil {
			return rows, err
		}
		rows = append(rows, more...)
	}
	return rows, nil
}

func (l *Lab) idleRows(ctx context.Context, onRequest bool) ([]Row, error) {
	all, errs := make([]idleUsage, len(l.Plan.Lists)), make([]error, len(l.Plan.Lists))
	var running sync.WaitGroup
	for i, listLength := range l.Plan.Lists { // concurrently: the fronts wait nearly all of the time
		running.Go(func() { all[i], errs[i] = l.measureIdleFront(ctx, onRequest, listLength) })
	}
	running.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	var processor, memory, switches, bytes []float64
	for i, q := range all {
		processor = append(processor, float64(q.Processor.Microseconds())/q.seconds)
		memory, switches, bytes = append(memory, float64(q.Resident)), append(switches, float64(q.Switches)/q.seconds),
			append(bytes, q.discoveryBytes/q.seconds)
		l.logf("idle, %d nodes listed, %s: %.3f%% of a core, %.1f MB, %.0f wakeups per second, %.0f bytes per second of discovery",
			l.Plan.Lists[i], modeName(onRequest), processor[i]/1e4, memory[i]/(1<<20), switches[i], bytes[i])
	}
	counts, sizeText := toFloats(l.Plan.Lists), formatSizes(l.Plan.Lists, "nodes listed")
	processorFit, memoryFit, wakeupFit, byteFit := fit(counts, processor), fit(counts, memory), fit(counts, switches), fit(counts, bytes)
	modeSuffix := ", " + modeName(onRequest)
	return []Row{
		{
			Measure: "processor time of control when idle" + modeSuffix, Sizes: sizeText, Fit: processorFit, SlopeUnit: "us a second a node",
			Value: processorFit.At(sizeNodes) / 1e4, ValueUnit: "% of a core", Budget: budgetProcessor,
			Note: fmt.Sprintf("%s wakeups of a thread a second", formatNumber(wakeupFit.At(sizeNodes))),
		},
		{
			Measure: "memory of a listed node" + modeSuffix, Sizes: sizeText, Fit: memoryFit, SlopeUnit: "bytes",
			Value: memoryFit.At(sizeNodes) / (1 << 20), ValueUnit: "MB", Budget: budgetMemory,
			Note: "a front without clients, 1,200 fronts named",
		},
		{
			Measure: "bytes of discovery when idle" + modeSuffix, Sizes: sizeText, Fit: byteFit, SlopeUnit: "bytes a second a node",
			Value: byteFit.At(sizeNodes) / 1024, ValueUnit: "KB a second", Budget: budgetBytes, Note: "watches without news",
		},
	}, nil
}

func modeName(onRequest bool) string {
	if onRequest {
		return "one discovery, asked"
	}
	return "pushed to an agent each"
}

// idleUsage is the usage of an idle front.
type idleUsage struct {
	Usage
	discoveryBytes float64 // bytes that discovery sent
	seconds        float64
}

// measureIdleFront measures an idle front and what discovery sends to it.
func (l *Lab) measureIdleFront(ctx context.Context, onRequest bool, listLength int) (idleUsage, error) {
	list := unusedEntries(listLength)
	discovery, err := startDiscovery(list)
	if err != nil {
		return idleUsage{}, err
	}
	defer discovery.Close()
	front, err := l.start(ctx, config{
		discovery: discovery.Addr, onRequest: onRequest, fronts: sizeFronts, peerListen: newAddress(), peers: unusedPeers(sizeFronts),
		memoryMB: int(budgetMemory), sockets: ampleSockets, clientTimeout: defaultClientTimeout, nodes: list, shards: listLength,
	})
	if err != nil {
		return idleUsage{}, err
	}
	defer front.Kill()
	wait(ctx, startUpTime)
	before, err := front.Usage()
	if err != nil {
		return idleUsage{}, err
	}
	began, sentBefore := time.Now(), discovery.BytesSent.Load()
	wait(ctx, l.Plan.Span)
	after, err := front.Usage()
	return idleUsage{after.Since(before), float64(discovery.BytesSent.Load() - sentBefore), time.Since(began).Seconds()}, err
}

// unusedPeers returns count peer addresses without a listener.
func unusedPeers(count int) []string {
	var out []string
	for i := range count {
		out = append(out, fmt.Sprintf("127.255.%d.%d:9", i/250, i%250+1))
	}
	return out
}
