package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"

	"otterturn/internal/lab/processes"
)

type measured struct {
	Program  string   `help:"The built otterturn that is measured." default:"bin/otterturn" placeholder:"FILE"`
	Only     []string `help:"Measures to run: requests, memory, changes, idle, silent, connections, compare. Without it, all." placeholder:"NAME"`
	Fronts   []int    `help:"Fronts that hear of a change, or share a silent node." default:"1,2,4,8,16,32"`
	Markdown string   `help:"Write the table as Markdown into a file." placeholder:"FILE"`
}

// Run measures, prints the table and the worst row. What was measured ahead of a failure is printed, too.
func (c measured) Run(out io.Writer) error {
	program, err := filepath.Abs(c.Program)
	if err != nil {
		return err
	}
	if _, err := os.Stat(program); err != nil {
		return fmt.Errorf("%w; 'make build' makes it", err)
	}
	if err := c.check(); err != nil {
		return err
	}
	ctx, end := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer end()
	plan := processes.Full()
	plan.Fronts = c.Fronts
	lab := &processes.Lab{Program: program, Plan: plan, Log: out}
	before := loads()
	rows, failed := lab.Run(ctx, c.Only...)
	busy := fmt.Sprintf("%d cores, shared; load over the last minute %s ahead of the run, %s at its end.", runtime.NumCPU(), before, loads())
	fmt.Fprintln(out, busy)
	fmt.Fprintln(out)
	processes.Text(out, rows)
	if c.Markdown != "" && failed == nil {
		if err := c.write(rows, busy); err != nil {
			return err
		}
	}
	fmt.Fprintln(out, processes.Worst(rows))
	return failed
}

// loads is the machine's load over the last minute, as the kernel tells.
func loads() string {
	text, err := os.ReadFile("/proc/loadavg")
	first, _, _ := strings.Cut(string(text), " ")
	if err != nil {
		return "unknown"
	}
	return first
}

// mostFronts run on one machine.
const mostFronts = 64

// check tells of a measure that there is none of, and of fronts that can't be.
func (c measured) check() error {
	known := map[string]bool{}
	for _, m := range processes.Measures {
		known[m.Name] = true
	}
	if len(c.Fronts) < 3 || slices.Min(c.Fronts) < 1 || slices.Max(c.Fronts) > mostFronts {
		return fmt.Errorf("--fronts: at least three numbers from 1 to %d", mostFronts)
	}
	for _, name := range c.Only {
		if !known[name] {
			return fmt.Errorf("--only: %q is unknown", name)
		}
	}
	return nil
}

func (c measured) write(rows []processes.Row, busy string) error {
	f, err := os.Create(c.Markdown)
	if err != nil {
		return err
	}
	processes.Page(f, rows, busy)
	return f.Close()
}
