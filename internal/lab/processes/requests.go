package processes

import (
	"context"
	"fmt"
	"time"

	"otterturn/internal/lab/load"
)

// measureRequests measures the processor time of a request: one front is loaded at several rates in sequence.
func (l *Lab) measureRequests(ctx context.Context) ([]Row, error) {
	points, err := l.measureRates(ctx)
	if err != nil {
		return nil, err
	}
	var served, processor []float64
	for _, p := range points {
		served, processor = append(served, p.served), append(processor, p.processor)
	}
	processorFit := fit(served, processor)
	sizeText := formatSizes(l.Plan.Rates, "requests a second")
	percent := func(microseconds float64) float64 { return microseconds / 1e4 }
	return []Row{
		{
			Measure: "processor time of a request", Sizes: sizeText, Fit: processorFit, SlopeUnit: "us a request",
			Value: percent(processorFit.At(sizeRate)), ValueUnit: "% of a core",
			Budget: budgetCore, Note: "at 708 requests a second; the data path's own core, not control's 5%",
		},
		{
			Measure: "processor time without requests, by the same line", Sizes: sizeText, Value: percent(processorFit.Intercept),
			ValueUnit: "% of a core",
			Note:      "the line's height at 0 requests: few requests share fewer wakeups. What control takes is measured when idle",
		},
	}, nil
}

// ratePoint is the usage of a front at one request rate.
type ratePoint struct {
	wanted    float64 // requests per second
	served    float64 // requests per second that were served
	processor float64 // microseconds of processor time per second
}

// minServedShare is the share of the wanted rate that has to be served for a point to be reliable.
const minServedShare = 0.95

// shortfallNote returns a remark if too few of the wanted requests were served.
func (p ratePoint) shortfallNote() string {
	if p.served >= minServedShare*p.wanted {
		return ""
	}
	return fmt.Sprintf("; only %.0f%% of the wanted rate came about on a busy machine: not to be relied on", 100*p.served/p.wanted)
}

// measureRates measures one front at each rate of the plan.
func (l *Lab) measureRates(ctx context.Context) ([]ratePoint, error) {
	front, nodes, stop, err := l.startFrontAndNodes(ctx, l.Plan.Nodes)
	if err != nil {
		return nil, err
	}
	defer stop()
	// Warm-up: the heap grows and connections open.
	if _, err := front.sendLoad(ctx, l.Plan.Rates[len(l.Plan.Rates)-1], l.Plan.Span/3, len(nodes)); err != nil {
		return nil, err
	}
	var points []ratePoint
	for _, rate := range l.Plan.Rates {
		p, err := l.measureRate(ctx, front, rate, l.Plan.Span, len(nodes))
		if err != nil {
			return nil, err
		}
		points = append(points, p)
	}
	return points, nil
}

// measureRate measures a front at one request rate.
func (l *Lab) measureRate(ctx context.Context, front *Front, rate float64, span time.Duration, shards int) (ratePoint, error) {
	before, err := front.Usage()
	if err != nil {
		return ratePoint{}, err
	}
	began := time.Now()
	progress, err := front.sendLoad(ctx, rate, span, shards)
	if err != nil {
		return ratePoint{}, err
	}
	after, err := front.Usage()
	seconds := time.Since(began).Seconds()
	used := after.Since(before)
	out := ratePoint{
		wanted: rate, served: float64(progress.Ended[load.Served]) / seconds,
		processor: float64(used.Processor.Microseconds()) / seconds,
	}
	l.logf("%.0f requests/s wanted, %d nodes: %.0f/s served, %d refused, %d failed; %.2f%% of a core, %.0f us per request; %.1f MB",
		rate, shards, out.served, progress.Ended[load.Rejected], progress.Ended[load.Failed], out.processor/1e4,
		out.processor/out.served, megabytes(after.Resident))
	return out, err
}

// startFrontAndNodes starts count nodes and a front with ample limits that uses them; stop stops all of them.
func (l *Lab) startFrontAndNodes(ctx context.Context, count int) (front *Front, nodes []*Node, stop func(), err error) {
	nodes, err = startNodes(count)
	if err != nil {
		return nil, nil, nil, err
	}
	front, stopFront, err := l.startFrontFor(ctx, entries(nodes), ampleMemoryMB, ampleSockets)
	if err != nil {
		closeNodes(nodes)
		return nil, nil, nil, err
	}
	return front, nodes, func() {
		stopFront()
		closeNodes(nodes)
	}, nil
}

// startFrontFor starts one front that uses nodes, and a discovery with the same list.
func (l *Lab) startFrontFor(ctx context.Context, nodes []Entry, memoryMB, sockets int) (*Front, func(), error) {
	discovery, err := startDiscovery(nodes)
	if err != nil {
		return nil, nil, err
	}
	front, err := l.start(ctx, config{
		discovery: discovery.Addr, fronts: 1, memoryMB: memoryMB, sockets: sockets, clientTimeout: defaultClientTimeout,
		nodes: nodes, shards: len(nodes),
	})
	if err != nil {
		discovery.Close()
		return nil, nil, err
	}
	return front, func() {
		front.Kill()
		discovery.Close()
	}, nil
}

func megabytes(bytes int64) float64 { return float64(bytes) / (1 << 20) }
