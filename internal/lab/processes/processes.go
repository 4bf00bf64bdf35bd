// Package processes measures the built program: fronts run as separate processes on loopback, with stand-in nodes and a
// stand-in discovery in the measuring process. The usage of a front is read from /proc, which excludes the time that threads
// wait on a busy machine; shared caches and cores still raise processor time. Straight lines are fitted to the figures and
// extrapolated to the size of the whole fleet.
package processes

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"
)

// The size for which the project is designed.
const (
	sizeFronts      = 1200
	sizeNodes       = 1800
	sizeZoneNodes   = 180
	sizeConnections = 3667 // of clients, per front
	sizeRate        = 708  // requests per second per front
)

// Budgets of a front and of the services that it calls.
const (
	budgetProcessor = 5.0             // percent of a core, for control
	budgetMemory    = 256.0           // MB
	budgetBytes     = 16.0            // KB per second, for control
	budgetChange    = 4000.0          // milliseconds until a change is in effect
	budgetProbes    = 50.0            // per second at each silent node
	budgetLines     = 14_000.0 * 4    // entries that a discovery can send in the 4 s of budgetChange, by the best figure of docs/fleet.md
	budgetListBytes = budgetBytes * 4 // KB per front in the 4 s of budgetChange
	budgetCore      = 100.0           // percent, of the one core that a front has for requests
)

// Plan holds the sizes to measure.
type Plan struct {
	Rates       []float64     // requests per second to one front
	Nodes       int           // behind that front
	Span        time.Duration // duration of each rate, and of the measurements of idle fronts
	Connections []int         // of clients, to one front
	Fronts      []int         // numbers of fronts for changes and for a silent node
	Lists       []int         // numbers of nodes on the list
	SilentTime  time.Duration // duration of the measurements of a silent node and of handshakes
	KeptNodes   int           // nodes to which one connection each is kept
}

// Full returns the plan whose figures the page holds.
func Full() Plan {
	return Plan{
		Rates: []float64{100, 200, 400, sizeRate, 1000}, Nodes: sizeZoneNodes, Span: 6 * time.Second,
		Connections: []int{0, 500, 1000, 2000, sizeConnections}, Fronts: []int{1, 2, 4, 8, 16, 32},
		Lists: []int{112, 225, 450, 900, sizeNodes}, SilentTime: 10 * time.Second, KeptNodes: sizeNodes,
	}
}

// Lab measures one build of the program.
type Lab struct {
	Program string   // path of the built otterturn
	Env     []string // added to this process's environment
	Plan    Plan
	Log     io.Writer // receives results as they are measured

	dir     string
	started atomic.Int64
}

// Measure is a named measurement.
type Measure struct {
	Name string
	run  func(*Lab, context.Context) ([]Row, error)
}

// Measures holds all measurements in the order in which they run.
var Measures = []Measure{
	{"requests", (*Lab).measureRequests},
	{"memory", (*Lab).measureMemory},
	{"changes", (*Lab).measureChanges},
	{"idle", (*Lab).measureIdle},
	{"silent", (*Lab).measureSilent},
	{"connections", (*Lab).measureConnections},
	{"compare", (*Lab).compareWithHollow},
}

// Run runs the named measurements, or all if no name is given, in sequence. After a failure it returns the error with the rows
// measured so far.
func (l *Lab) Run(ctx context.Context, names ...string) ([]Row, error) {
	dir, err := os.MkdirTemp("", "processes")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	l.dir = dir
	wanted := map[string]bool{}
	for _, name := range names {
		wanted[name] = true
	}
	var rows []Row
	for _, m := range Measures {
		if len(names) > 0 && !wanted[m.Name] {
			continue
		}
		began := time.Now()
		more, err := m.run(l, ctx)
		rows = append(rows, more...)
		if err != nil {
			return rows, fmt.Errorf("%s: %w", m.Name, err)
		}
		l.logf("%s: %.0f s", m.Name, time.Since(began).Seconds())
	}
	return rows, nil
}

func (l *Lab) logf(format string, values ...any) { fmt.Fprintf(l.Log, format+"\n", values...) }

// wait waits for a time, or until ctx ends.
func wait(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
