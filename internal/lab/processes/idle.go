package processes

import (
	"context"
	"fmt"
	"time"
)

// startsUp is how long a front may take behind its start until nothing of it is seen in its processor time.
const startsUp = 2 * time.Second

// idle measures what control takes of a front that gets no requests, by the nodes on its list. It has the addresses of
// as many fronts as the fleet has.
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
	var processor, memory, switches, bytes []float64
	for _, many := range l.Plan.Lists {
		u, sent, seconds, err := l.idleFront(ctx, asked, many)
		if err != nil {
			return nil, err
		}
		processor = append(processor, float64(u.Processor.Microseconds())/seconds)
		memory, switches, bytes = append(memory, float64(u.Resident)), append(switches, float64(u.Switches)/seconds), append(bytes, sent/seconds)
		last := len(processor) - 1
		l.logf("idle, %d nodes listed, %s: %.3f%% of a core, %.1f MB, %.0f wakeups a second, %.0f bytes a second of discovery", many, mode(asked),
			processor[last]/1e4, memory[last]/(1<<20), switches[last], bytes[last])
	}
	counts, sized := floats(l.Plan.Lists), sizes(l.Plan.Lists, "nodes listed")
	time, size, wakes, heard := fit(counts, processor), fit(counts, memory), fit(counts, switches), fit(counts, bytes)
	with := ", " + mode(asked)
	return []Row{
		{Measure: "processor time of control when idle" + with, Sizes: sized, Fit: time, Unit: "us a second a node", Value: time.At(sizeNodes) / 1e4,
			In: "% of a core", Budget: budgetProcessor, Note: fmt.Sprintf("%s wakeups of a thread a second", short(wakes.At(sizeNodes)))},
		{Measure: "memory of a listed node" + with, Sizes: sized, Fit: size, Unit: "bytes", Value: size.At(sizeNodes) / (1 << 20), In: "MB", Budget: budgetMemory,
			Note: "a front without clients, 1,200 fronts named"},
		{Measure: "bytes of discovery when idle" + with, Sizes: sized, Fit: heard, Unit: "bytes a second a node", Value: heard.At(sizeNodes) / 1024, In: "KB a second",
			Budget: budgetBytes, Note: "watches without news"},
	}, nil
}

func mode(asked bool) string {
	if asked {
		return "one discovery, asked"
	}
	return "pushed to an agent each"
}

// idleFront watches a front that has nothing to do, and what discovery sends it.
func (l *Lab) idleFront(ctx context.Context, asked bool, many int) (u Usage, sent, seconds float64, err error) {
	list := listed(many)
	d, err := startDiscovery(list)
	if err != nil {
		return Usage{}, 0, 0, err
	}
	defer d.Close()
	peer, err := freePeer()
	if err != nil {
		return Usage{}, 0, 0, err
	}
	front, err := l.start(ctx, config{discovery: d.Addr, asked: asked, fronts: sizeFronts, peerListen: peer, peers: elsewhere(sizeFronts),
		memoryMB: int(budgetMemory), sockets: wideSockets, giveUp: patience, nodes: list, shards: many})
	if err != nil {
		return Usage{}, 0, 0, err
	}
	defer front.Kill()
	rest(ctx, startsUp)
	before, err := front.Usage()
	if err != nil {
		return Usage{}, 0, 0, err
	}
	began, had := time.Now(), d.Sent.Load()
	rest(ctx, l.Plan.Span)
	after, err := front.Usage()
	return after.Since(before), float64(d.Sent.Load() - had), time.Since(began).Seconds(), err
}

// elsewhere are addresses of so many fronts that are not there.
func elsewhere(many int) []string {
	var out []string
	for i := range many {
		out = append(out, fmt.Sprintf("127.255.%d.%d:9", i/250, i%250+1))
	}
	return out
}
