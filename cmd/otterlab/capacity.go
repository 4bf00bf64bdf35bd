package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"otterturn/internal/lab/hollow"
	"otterturn/scheduler"
)

// gcPercent makes garbage collections rarer than the default of 100, as most of a fleet's memory stays in use. The memory
// limit still holds.
const gcPercent = 200

type capacityCommand struct {
	Sizes    []int         `help:"Numbers of fronts of the simulated fleets; each fleet has 1.5 times as many nodes." default:"40,60,85,120,300,1200"`
	Small    int           `help:"Events that do not concern the whole fleet are simulated up to this number of fronts, and extrapolated above it." default:"120"`
	Events   []string      `help:"Events to simulate; all by default."`
	Health   string        `help:"Simulate with the fleet's health checks, without them, or both." enum:"on,off,both" default:"both"`
	Seed     uint64        `help:"Seed of the random numbers." default:"1"`
	Workers  int           `help:"Number of goroutines, 0 for one per processor." default:"0"`
	Memory   int64         `help:"Soft memory limit in gigabytes." default:"12"`
	Suspect  time.Duration `help:"Age at which health checks suspect an unanswered attempt; 0 for their default." name:"suspect-after" default:"0s"`
	Markdown bool          `help:"Print the tables as Markdown."`
}

// Run simulates fleets of hollow fronts and prints a table of their costs. Progress messages go to standard error.
func (c capacityCommand) Run(out io.Writer) error {
	if len(c.Sizes) == 0 || slices.Min(c.Sizes) < 12 || c.Memory < 1 {
		return errors.New("--sizes must be at least 12, and --memory at least 1")
	}
	slices.Sort(c.Sizes)
	for _, name := range c.Events {
		if !slices.ContainsFunc(hollow.Events, func(e hollow.Event) bool { return e.Name == name }) {
			return fmt.Errorf("--events: unknown event %q", name)
		}
	}
	debug.SetMemoryLimit(c.Memory << 30)
	debug.SetGCPercent(gcPercent)
	plan := hollow.Plan{
		Sizes: c.Sizes, MaxSmallSize: c.Small, Events: c.Events, Seed: c.Seed, Workers: c.Workers,
		SuspectAfter: scheduler.Micros(c.Suspect / time.Microsecond),
		Health:       map[string][]bool{"on": {true}, "off": {false}, "both": {false, true}}[c.Health],
	}
	lines, err := hollow.Measure(plan, func(text string) { fmt.Fprintln(os.Stderr, text) })
	if err != nil {
		return err
	}
	return hollow.Print(out, lines, c.Markdown)
}
