package processes

import (
	"context"
	"fmt"
	"time"

	"otterturn/internal/lab/load"
)

// requests measures the processor time of a request: one front is loaded at several rates in sequence.
func (l *Lab) requests(ctx context.Context) ([]Row, error) {
	points, err := l.rates(ctx)
	if err != nil {
		return nil, err
	}
	var served, taken []float64
	for _, p := range points {
		served, taken = append(served, p.served), append(taken, p.processor)
	}
	f := fit(served, taken)
	rates := sizes(l.Plan.Rates, "requests a second")
	percent := func(microseconds float64) float64 { return microseconds / 1e4 }
	return []Row{
		{
			Measure: "processor time of a request", Sizes: rates, Fit: f, Unit: "us a request", Value: percent(f.At(sizeRate)), In: "% of a core",
			Budget: budgetCore, Note: "at 708 requests a second; the data path's own core, not control's 5%",
		},
		{
			Measure: "processor time without requests, by the same line", Sizes: rates, Value: percent(f.Intercept), In: "% of a core",
			Note: "the line's height at 0 requests: few requests share fewer wakeups. What control takes is measured when idle",
		},
	}, nil
}

// point is the usage of a front at one request rate.
type point struct {
	wanted    float64 // requests per second
	served    float64 // requests per second that were served
	processor float64 // microseconds of processor time per second
}

// most is the share of the wanted rate that has to be served for a point to be reliable.
const most = 0.95

// short returns a remark if too few of the wanted requests were served.
func (p point) short() string {
	if p.served >= most*p.wanted {
		return ""
	}
	return fmt.Sprintf("; only %.0f%% of the wanted rate came about on a busy machine: not to be relied on", 100*p.served/p.wanted)
}

// rates measures one front at each rate of the plan.
func (l *Lab) rates(ctx context.Context) ([]point, error) {
	front, nodes, end, err := l.beforeNodes(ctx, l.Plan.Nodes)
	if err != nil {
		return nil, err
	}
	defer end()
	if _, err := front.ask(ctx, l.Plan.Rates[len(l.Plan.Rates)-1], l.Plan.Span/3, len(nodes)); err != nil { // warm-up: the heap grows and connections open
		return nil, err
	}
	var points []point
	for _, rate := range l.Plan.Rates {
		p, err := l.rate(ctx, front, rate, l.Plan.Span, len(nodes))
		if err != nil {
			return nil, err
		}
		points = append(points, p)
	}
	return points, nil
}

// rate measures a front at one request rate.
func (l *Lab) rate(ctx context.Context, front *Front, rate float64, span time.Duration, shards int) (point, error) {
	before, err := front.Usage()
	if err != nil {
		return point{}, err
	}
	began := time.Now()
	p, err := front.ask(ctx, rate, span, shards)
	if err != nil {
		return point{}, err
	}
	after, err := front.Usage()
	seconds := time.Since(began).Seconds()
	taken := after.Since(before)
	out := point{wanted: rate, served: float64(p.Ended[load.Served]) / seconds, processor: float64(taken.Processor.Microseconds()) / seconds}
	l.logf("%.0f requests per second wanted, %d nodes: %.0f served per second, %d refused, %d failed; %.2f%% of a core, %.0f us per request; %.1f MB",
		rate, shards, out.served, p.Ended[load.Refused], p.Ended[load.Failed], out.processor/1e4, out.processor/out.served, megabytes(after.Resident))
	return out, err
}

// beforeNodes starts many nodes and a front with ample limits that uses them; end stops all of them.
func (l *Lab) beforeNodes(ctx context.Context, many int) (front *Front, nodes []*Node, end func(), err error) {
	nodes, err = startNodes(many)
	if err != nil {
		return nil, nil, nil, err
	}
	front, endFront, err := l.before(ctx, entries(nodes), wideMemoryMB, wideSockets)
	if err != nil {
		closeNodes(nodes)
		return nil, nil, nil, err
	}
	return front, nodes, func() {
		endFront()
		closeNodes(nodes)
	}, nil
}

// before starts one front that uses nodes, and a discovery with the same list.
func (l *Lab) before(ctx context.Context, nodes []Entry, memoryMB, sockets int) (*Front, func(), error) {
	d, err := startDiscovery(nodes)
	if err != nil {
		return nil, nil, err
	}
	front, err := l.start(ctx, config{
		discovery: d.Addr, fronts: 1, memoryMB: memoryMB, sockets: sockets, giveUp: patience,
		nodes: nodes, shards: len(nodes),
	})
	if err != nil {
		d.Close()
		return nil, nil, err
	}
	return front, func() {
		front.Kill()
		d.Close()
	}, nil
}

func megabytes(bytes int64) float64 { return float64(bytes) / (1 << 20) }
