// Package processes measures the built program: fronts that run as processes of their own on loopback, before stand-in
// nodes and a stand-in discovery in the measuring process. What a front takes is read from /proc, so that no wait
// of a busy machine is among it; caches and cores that others share still raise processor time. The
// figures are laid on straight lines, which give what a front would take at the size of the whole fleet.
package processes

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"
)

// The size that the project is laid out for.
const (
	sizeFronts      = 1200
	sizeNodes       = 1800
	sizeZoneNodes   = 180
	sizeConnections = 3667 // of clients, a front
	sizeRate        = 708  // requests a second, a front
)

// Budgets of a front, and of the services that it asks.
const (
	budgetProcessor = 5.0             // percent of a core, for control
	budgetMemory    = 256.0           // MB
	budgetBytes     = 16.0            // KB a second, for control
	budgetChange    = 4000.0          // milliseconds until a change is in force
	budgetProbes    = 50.0            // a second at each silent node
	budgetLines     = 14_000.0 * 4    // that a discovery bears in the time for a change, by the best figure of docs/fleet.md
	budgetListBytes = budgetBytes * 4 // KB of a front in the time for a change
	budgetCore      = 100.0           // percent, of the one core that a front has for requests
)

// Plan says which sizes are measured.
type Plan struct {
	Rates       []float64     // requests a second, on one front
	Nodes       int           // before that
	Span        time.Duration // of each rate, and of what is watched while idle
	Connections []int         // of clients, on one front
	Fronts      []int         // that hear of a change, or share a silent node
	Lists       []int         // nodes on the list
	Silence     time.Duration // that a silent node is watched
	Kept        int           // nodes to which a connection each is kept
}

// Full is the plan behind the page of figures.
func Full() Plan {
	return Plan{
		Rates: []float64{100, 200, 400, sizeRate, 1000}, Nodes: sizeZoneNodes, Span: 6 * time.Second,
		Connections: []int{0, 500, 1000, 2000, sizeConnections}, Fronts: []int{1, 2, 4, 8, 16, 32},
		Lists: []int{112, 225, 450, 900, sizeNodes}, Silence: 10 * time.Second, Kept: sizeNodes,
	}
}

// Lab runs measurements of one build.
type Lab struct {
	Program string   // the built otterturn
	Env     []string // that it is started with, beside this process's
	Plan    Plan
	Log     io.Writer // hears what is measured as it goes

	dir     string
	started atomic.Int64
}

// Measure is one of the measurements, by its name.
type Measure struct {
	Name string
	run  func(*Lab, context.Context) ([]Row, error)
}

// Measures are all of them, in the order in which they are run.
var Measures = []Measure{
	{"requests", (*Lab).requests},
	{"memory", (*Lab).memory},
	{"changes", (*Lab).changes},
	{"idle", (*Lab).idle},
	{"silent", (*Lab).silent},
	{"connections", (*Lab).connections},
	{"compare", (*Lab).compare},
}

// Run runs the measures named, or all where none is, one after the other. What was measured before a failure is returned
// with it.
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

// logf tells a line of what is measured.
func (l *Lab) logf(format string, values ...any) { fmt.Fprintf(l.Log, format+"\n", values...) }

// rest waits, or until ctx ends.
func rest(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
