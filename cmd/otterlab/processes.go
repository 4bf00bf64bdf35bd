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

type processesCommand struct {
	Program  string   `help:"Path of the otterturn program to measure." default:"bin/otterturn" placeholder:"FILE"`
	Only     []string `help:"Measurements: requests, memory, changes, idle, silent, connections, compare; all by default." placeholder:"NAME"`
	Fronts   []int    `help:"Numbers of fronts that receive a change or share a silent node." default:"1,2,4,8,16,32"`
	Markdown string   `help:"Write the table as Markdown to a file." placeholder:"FILE"`
}

// Run measures and prints the table and the worst row. After a failure it prints the rows measured before.
func (c processesCommand) Run(out io.Writer) error {
	program, err := filepath.Abs(c.Program)
	if err != nil {
		return err
	}
	if _, err := os.Stat(program); err != nil {
		return fmt.Errorf("%w; run 'make build' to build it", err)
	}
	if err := c.check(); err != nil {
		return err
	}
	ctx, end := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer end()
	plan := processes.Full()
	plan.Fronts = c.Fronts
	lab := &processes.Lab{Program: program, Plan: plan, Log: out}
	before := loadAverage()
	rows, failed := lab.Run(ctx, c.Only...)
	machineLoad := fmt.Sprintf("%d cores, shared; load average over one minute %s before the run, %s at its end.", runtime.NumCPU(), before, loadAverage())
	fmt.Fprintln(out, machineLoad)
	fmt.Fprintln(out)
	processes.Text(out, rows)
	if c.Markdown != "" && failed == nil {
		if err := c.write(rows, machineLoad); err != nil {
			return err
		}
	}
	fmt.Fprintln(out, processes.Worst(rows))
	return failed
}

// loadAverage returns the machine's load average over the last minute.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	first, _, _ := strings.Cut(string(text), " ")
	if err != nil {
		return "unknown"
	}
	return first
}

// maxFronts limits the fronts on one machine.
const maxFronts = 64

// check rejects unknown measurements and numbers of fronts out of range.
func (c processesCommand) check() error {
	known := map[string]bool{}
	for _, m := range processes.Measures {
		known[m.Name] = true
	}
	if len(c.Fronts) < 3 || slices.Min(c.Fronts) < 1 || slices.Max(c.Fronts) > maxFronts {
		return fmt.Errorf("--fronts must be at least three numbers from 1 to %d", maxFronts)
	}
	for _, name := range c.Only {
		if !known[name] {
			return fmt.Errorf("--only: unknown measurement %q", name)
		}
	}
	return nil
}

func (c processesCommand) write(rows []processes.Row, machineLoad string) error {
	f, err := os.Create(c.Markdown)
	if err != nil {
		return err
	}
	processes.Page(f, rows, machineLoad)
	return f.Close()
}
