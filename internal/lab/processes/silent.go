package processes

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	silentNodes   = 4                                           // one of them becomes silent
	silentRate    = 40.0                                        // requests per second per front
	fleetPairRate = silentNodes * sizeRate / float64(sizeNodes) // per front: each pair of front and node has the rate of the full fleet
	warmUp        = 2 * time.Second
)

// silentCost is what fronts send to a node that accepts connections and answers nothing.
type silentCost struct {
	fronts                          int
	seconds                         float64
	probes, attempts, bytes, opened int64
	wire                            int64 // both ways, IP and TCP headers included, of connections that began and ended in that time
	peak                            int64 // most probes in any second
}

// measureSilent measures probes and attempts at a node that becomes silent, by the number of fronts: at a rate at which all
// fronts detect it at once, and at the rate of the whole fleet.
func (l *Lab) measureSilent(ctx context.Context) ([]Row, error) {
	var rows []Row
	for _, rate := range []float64{silentRate, fleetPairRate} {
		all, errs := make([]silentCost, len(l.Plan.Fronts)), make([]error, len(l.Plan.Fronts))
		var running sync.WaitGroup
		for i, count := range l.Plan.Fronts { // concurrently: the fronts wait most of the time
			running.Go(func() { all[i], errs[i] = l.measureSilentNode(ctx, count, rate) })
		}
		running.Wait()
		if err := errors.Join(errs...); err != nil {
			return rows, err
		}
		rows = append(rows, l.silentRows(all, rate)...)
	}
	return rows, nil
}

func (l *Lab) silentRows(all []silentCost, rate float64) []Row {
	var probes, peaks, attempts, bytes, opened, wire []float64
	for _, s := range all {
		l.logf("%d fronts at %s requests/s, silent for %.0f s: %d probes, at most %d/s, %d attempts, %d connections, %d bytes, %d on the wire",
			s.fronts, formatNumber(rate), s.seconds, s.probes, s.peak, s.attempts, s.opened, s.bytes, s.wire)
		probes, peaks = append(probes, float64(s.probes)/s.seconds), append(peaks, float64(s.peak))
		opened, wire = append(opened, float64(s.opened)), append(wire, float64(s.wire))
		attempts, bytes = append(attempts, float64(s.attempts)), append(bytes, float64(s.wire)/s.seconds)
	}
	counts := toFloats(l.Plan.Fronts)
	sizeText, rateSuffix := formatSizes(l.Plan.Fronts, "fronts"), fmt.Sprintf(", %s requests a second a pair", formatNumber(rate/silentNodes))
	budgetFor := func(of float64) float64 { // a rate above that of the full fleet causes more probes, so the budget doesn't apply
		if rate > fleetPairRate {
			return 0
		}
		return of
	}
	probeFit, peakFit, attemptFit, byteFit, wireFit := fit(counts, probes), fit(counts, peaks), fit(counts, attempts),
		fit(counts, bytes), fit(opened, wire)
	spanText := fmt.Sprintf("mean of the first %.0f s", l.Plan.SilentTime.Seconds())
	return []Row{
		{
			Measure: "probes of a silent node" + rateSuffix, Sizes: sizeText, Fit: probeFit, SlopeUnit: "a second a front",
			Value: probeFit.Slope * sizeFronts, ValueUnit: "a second", Budget: budgetFor(budgetProbes),
			Note: spanText + "; the budget is the aim for the whole fleet at each silent node",
		},
		{
			Measure: "probes of a silent node in the worst second" + rateSuffix, Sizes: sizeText, Fit: peakFit, SlopeUnit: "a second a front",
			Value: peakFit.Slope * sizeFronts, ValueUnit: "a second", Budget: budgetFor(budgetProbes),
			Note: "of the same " + spanText[len("mean of the "):],
		},
		{
			Measure: "bytes to and from silent nodes, a zone of 180 gone" + rateSuffix, Sizes: sizeText, Fit: byteFit,
			SlopeUnit: "bytes a second a front and node", Value: byteFit.Slope * sizeZoneNodes / 1024, ValueUnit: "KB a second a front",
			Budget: budgetFor(budgetBytes), Note: spanText + "; both ways, heads of IP and TCP included, by the kernel's count of segments",
		},
		{
			Measure: "bytes of a connection to a silent node, nearly all of probes" + rateSuffix, Sizes: formatSizes(opened, "connections"),
			Fit: wireFit, SlopeUnit: "bytes", Value: wireFit.Slope, ValueUnit: "bytes",
			Note: "both ways, heads of IP and TCP included, its handshake and its end",
		},
		{
			Measure: "attempts that a silent node has cost" + rateSuffix, Sizes: sizeText, Fit: attemptFit, SlopeUnit: "a front",
			Value: attemptFit.Slope * sizeFronts, ValueUnit: "of the fleet, a node", Note: "the aim of issue 28 is a tenth of it",
		},
	}
}

// measureSilentNode starts fronts and nodes and measures them while one node is silent.
func (l *Lab) measureSilentNode(ctx context.Context, count int, rate float64) (silentCost, error) {
	nodes, err := startNodes(silentNodes)
	if err != nil {
		return silentCost{}, err
	}
	defer closeNodes(nodes)
	list := entries(nodes)
	discovery, err := startDiscovery(list)
	if err != nil {
		return silentCost{}, err
	}
	defer discovery.Close()
	c := config{
		discovery: discovery.Addr, memoryMB: todayMemoryMB, sockets: todaySockets, clientTimeout: defaultClientTimeout, nodes: list,
		shards: len(list),
	}
	fronts, err := l.startAll(ctx, count, c, func(*config) {})
	if err != nil {
		return silentCost{}, err
	}
	defer killAll(fronts)
	return l.countSilent(ctx, fronts, nodes, rate)
}

// countSilent makes the first node silent under load and counts what it receives.
func (l *Lab) countSilent(ctx context.Context, fronts []*Front, nodes []*Node, rate float64) (silentCost, error) {
	loadCtx, stopLoad := context.WithTimeout(ctx, maxLoadTime)
	defer stopLoad()
	done := make(chan error, 1)
	go func() {
		_, err := sendLoadToAll(loadCtx, fronts, rate, maxLoadTime, len(nodes))
		done <- err
	}()
	wait(ctx, warmUp)
	silentNode := nodes[0]
	out := silentCost{
		fronts: len(fronts), probes: -silentNode.Probes.Load(), attempts: -silentNode.Requests.Load(), bytes: -silentNode.Received.Load(),
		opened: -silentNode.Opened.Load(), wire: -silentNode.Wire.Load(),
	}
	began := time.Now()
	silentNode.Silent.Store(true)
	for last := silentNode.Probes.Load(); time.Since(began) < l.Plan.SilentTime && ctx.Err() == nil; {
		wait(ctx, time.Second)
		now := silentNode.Probes.Load()
		out.peak, last = max(out.peak, now-last), now
	}
	out.probes += silentNode.Probes.Load()
	out.attempts += silentNode.Requests.Load()
	out.bytes += silentNode.Received.Load()
	out.opened += silentNode.Opened.Load()
	out.wire += silentNode.Wire.Load()
	out.seconds = time.Since(began).Seconds() // the bytes of connections still open at the end are not counted in wire
	stopLoad()
	return out, <-done
}
