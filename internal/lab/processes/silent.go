package processes

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	silentNodes = 4                                           // one of them becomes silent
	silentRate  = 40.0                                        // requests per second per front
	pairRate    = silentNodes * sizeRate / float64(sizeNodes) // requests per second per front at which each pair of front and node has the rate of the full fleet
	warmUp      = 2 * time.Second
)

// silence is what fronts send to a node that accepts connections and answers nothing.
type silence struct {
	fronts                          int
	seconds                         float64
	probes, attempts, bytes, opened int64
	wire                            int64 // both ways, IP and TCP headers included, of connections that began and ended in that time
	peak                            int64 // most probes in any second
}

// silent measures probes and attempts at a node that becomes silent, by the number of fronts: at a rate at which all fronts
// detect it at once, and at the rate of the whole fleet.
func (l *Lab) silent(ctx context.Context) ([]Row, error) {
	var rows []Row
	for _, rate := range []float64{silentRate, pairRate} {
		all, errs := make([]silence, len(l.Plan.Fronts)), make([]error, len(l.Plan.Fronts))
		var wait sync.WaitGroup
		for i, many := range l.Plan.Fronts { // concurrently: the fronts wait most of the time
			wait.Go(func() { all[i], errs[i] = l.silentBefore(ctx, many, rate) })
		}
		wait.Wait()
		if err := errors.Join(errs...); err != nil {
			return rows, err
		}
		rows = append(rows, l.silentRows(all, rate)...)
	}
	return rows, nil
}

func (l *Lab) silentRows(all []silence, rate float64) []Row {
	var probes, peaks, attempts, bytes, opened, wire []float64
	for _, s := range all {
		l.logf("%d fronts, %s requests per second each, a node silent for %.0f s: %d probes, at most %d in one second, %d attempts, %d connections, %d bytes received, %d on the wire",
			s.fronts, short(rate), s.seconds, s.probes, s.peak, s.attempts, s.opened, s.bytes, s.wire)
		probes, peaks = append(probes, float64(s.probes)/s.seconds), append(peaks, float64(s.peak))
		opened, wire = append(opened, float64(s.opened)), append(wire, float64(s.wire))
		attempts, bytes = append(attempts, float64(s.attempts)), append(bytes, float64(s.wire)/s.seconds)
	}
	counts := floats(l.Plan.Fronts)
	sized, each := sizes(l.Plan.Fronts, "fronts"), fmt.Sprintf(", %s requests a second a pair", short(rate/silentNodes))
	budget := func(of float64) float64 { // a rate above that of the full fleet causes more probes, so the budget doesn't apply
		if rate > pairRate {
			return 0
		}
		return of
	}
	p, m, a, b, w := fit(counts, probes), fit(counts, peaks), fit(counts, attempts), fit(counts, bytes), fit(opened, wire)
	span := fmt.Sprintf("mean of the first %.0f s", l.Plan.Silence.Seconds())
	return []Row{
		{
			Measure: "probes of a silent node" + each, Sizes: sized, Fit: p, Unit: "a second a front", Value: p.Slope * sizeFronts, In: "a second",
			Budget: budget(budgetProbes), Note: span + "; the budget is the aim for the whole fleet at each silent node",
		},
		{
			Measure: "probes of a silent node in the worst second" + each, Sizes: sized, Fit: m, Unit: "a second a front", Value: m.Slope * sizeFronts, In: "a second",
			Budget: budget(budgetProbes), Note: "of the same " + span[len("mean of the "):],
		},
		{
			Measure: "bytes to and from silent nodes, a zone of 180 gone" + each, Sizes: sized, Fit: b, Unit: "bytes a second a front and node",
			Value: b.Slope * sizeZoneNodes / 1024, In: "KB a second a front", Budget: budget(budgetBytes),
			Note: span + "; both ways, heads of IP and TCP included, by the kernel's count of segments",
		},
		{
			Measure: "bytes of a connection to a silent node, nearly all of probes" + each, Sizes: sizes(opened, "connections"), Fit: w, Unit: "bytes",
			Value: w.Slope, In: "bytes", Note: "both ways, heads of IP and TCP included, its handshake and its end",
		},
		{
			Measure: "attempts that a silent node has cost" + each, Sizes: sized, Fit: a, Unit: "a front", Value: a.Slope * sizeFronts, In: "of the fleet, a node",
			Note: "the aim of issue 28 is a tenth of it",
		},
	}
}

// silentBefore starts fronts and nodes and measures them while one node is silent.
func (l *Lab) silentBefore(ctx context.Context, many int, rate float64) (silence, error) {
	nodes, err := startNodes(silentNodes)
	if err != nil {
		return silence{}, err
	}
	defer closeNodes(nodes)
	list := entries(nodes)
	d, err := startDiscovery(list)
	if err != nil {
		return silence{}, err
	}
	defer d.Close()
	c := config{discovery: d.Addr, memoryMB: todayMemoryMB, sockets: todaySockets, giveUp: patience, nodes: list, shards: len(list)}
	fronts, err := l.startAll(ctx, many, c, func(*config) {})
	if err != nil {
		return silence{}, err
	}
	defer killAll(fronts)
	return l.watchSilence(ctx, fronts, nodes, rate)
}

// watchSilence makes the first node silent under load and counts what it receives.
func (l *Lab) watchSilence(ctx context.Context, fronts []*Front, nodes []*Node, rate float64) (silence, error) {
	asks, end := context.WithTimeout(ctx, changesFor)
	defer end()
	done := make(chan error, 1)
	go func() {
		_, err := askAll(asks, fronts, rate, changesFor, len(nodes))
		done <- err
	}()
	rest(ctx, warmUp)
	mute := nodes[0]
	out := silence{
		fronts: len(fronts), probes: -mute.Probes.Load(), attempts: -mute.Requests.Load(), bytes: -mute.Received.Load(), opened: -mute.Opened.Load(),
		wire: -mute.Wire.Load(),
	}
	began := time.Now()
	mute.Mute.Store(true)
	for last := mute.Probes.Load(); time.Since(began) < l.Plan.Silence && ctx.Err() == nil; {
		rest(ctx, time.Second)
		now := mute.Probes.Load()
		out.peak, last = max(out.peak, now-last), now
	}
	out.probes += mute.Probes.Load()
	out.attempts += mute.Requests.Load()
	out.bytes += mute.Received.Load()
	out.opened += mute.Opened.Load()
	out.wire += mute.Wire.Load()
	out.seconds = time.Since(began).Seconds() // the bytes of connections still open at the end are not counted in wire
	end()
	return out, <-done
}
