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

// garbagePercent has memory collected less often than usual, within the bound: most of a fleet stays.
const garbagePercent = 200

type capacity struct {
	Sizes    []int         `help:"Fronts of the fleets that are played, with one and a half times as many nodes." default:"40,60,85,120,300,1200"`
	Small    int           `help:"Events that are not about the whole fleet are played at sizes up to this; beyond it they are reckoned." default:"120"`
	Events   []string      `help:"Events that are played, all by default."`
	Health   string        `help:"Without or with health of nodes, or both." enum:"on,off,both" default:"both"`
	Seed     uint64        `help:"Of what is drawn." default:"1"`
	Workers  int           `help:"Goroutines, 0 for one a processor." default:"0"`
	Memory   int64         `help:"Soft bound, in gigabytes." default:"12"`
	Suspect  time.Duration `help:"After which health of nodes suspects an attempt that is out, 0 for its default." name:"suspect-after" default:"0s"`
	Markdown bool          `help:"Print the tables as Markdown."`
}

// Run plays fleets of hollow fronts and prints the page's table. What a run says of itself goes to standard error.
func (c capacity) Run(out io.Writer) error {
	if len(c.Sizes) == 0 || slices.Min(c.Sizes) < 12 || c.Memory < 1 {
		return errors.New("--sizes must be 12 at least, and --memory 1")
	}
	slices.Sort(c.Sizes)
	for _, name := range c.Events {
		if !slices.ContainsFunc(hollow.Events, func(e hollow.Event) bool { return e.Name == name }) {
			return fmt.Errorf("--events: %q is unknown", name)
		}
	}
	debug.SetMemoryLimit(c.Memory << 30)
	debug.SetGCPercent(garbagePercent)
	plan := hollow.Plan{
		Sizes: c.Sizes, Small: c.Small, Events: c.Events, Seed: c.Seed, Workers: c.Workers,
		SuspectAfter: scheduler.Micros(c.Suspect / time.Microsecond),
		Health:       map[string][]bool{"on": {true}, "off": {false}, "both": {false, true}}[c.Health],
	}
	lines, err := hollow.Measure(plan, func(text string) { fmt.Fprintln(os.Stderr, text) })
	if err != nil {
		return err
	}
	return hollow.Print(out, lines, c.Markdown)
}
