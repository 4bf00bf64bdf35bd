package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"otterturn/internal/lab/scenario"
	"otterturn/internal/lab/sockets"
)

type rehearseCommand struct {
	Files  []string          `arg:"" help:"Scenario files." placeholder:"FILE"`
	Seeds  int               `help:"Number of simulated runs per scenario." default:"5"`
	Report string            `help:"Folder for report.html, a page with plots, and report.json." placeholder:"FOLDER"`
	Build  map[string]string `help:"Other builds to compare with: a name and the path of the build's benchlink." placeholder:"NAME=PATH"`
	Only   []string          `help:"Variants to simulate in addition to the first." placeholder:"NAME"`
}

func (c rehearseCommand) Run(out io.Writer) error {
	if c.Seeds < 1 {
		return errors.New("--seeds must be above 0")
	}
	var failed error
	var comparisons []scenario.Comparison
	for _, name := range c.Files {
		s, err := scenario.Load(name)
		if err != nil {
			return err
		}
		variants := s.AllVariants()
		for _, build := range slices.Sorted(maps.Keys(c.Build)) {
			v, end := scenario.BenchlinkVariant(build, c.Build[build])
			defer end()
			variants = append(variants, v)
		}
		if len(c.Only) > 0 {
			variants = append(variants[:1], slices.DeleteFunc(variants[1:], func(v scenario.Variant) bool { return !slices.Contains(c.Only, v.Name) })...)
		}
		compared, err := s.Compare(c.Seeds, variants)
		if err != nil {
			return err
		}
		if err := compared.Table(out); err != nil {
			return err
		}
		if passed, _ := compared.CheckRules(); !passed {
			failed = errors.Join(failed, fmt.Errorf("%s: a rule was broken or a node was overloaded", name))
		}
		comparisons = append(comparisons, compared)
	}
	if c.Report == "" {
		return failed
	}
	return errors.Join(failed, writeReport(out, c.Report, comparisons))
}

// writeReport writes the comparisons as an HTML page and as JSON.
func writeReport(out io.Writer, folder string, comparisons []scenario.Comparison) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("creating the report folder: %w", err)
	}
	for name, write := range map[string]func(io.Writer, []scenario.Comparison) error{"report.html": scenario.Page, "report.json": scenario.JSON} {
		f, err := os.Create(filepath.Join(folder, name))
		if err != nil {
			return err
		}
		if err := errors.Join(write(f, comparisons), f.Close()); err != nil {
			return fmt.Errorf("%s: %w", f.Name(), err)
		}
	}
	_, err := fmt.Fprintln(out, "report:", filepath.Join(folder, "report.html"))
	return err
}

type repeatCommand struct {
	Files []string `arg:"" help:"Scenario files." placeholder:"FILE"`
}

func (c repeatCommand) Run(out io.Writer) error {
	var failed error
	var summary []string
	for _, name := range c.Files {
		s, err := scenario.Load(name)
		if err != nil {
			return err
		}
		var digests [2]string
		var result scenario.Result
		for i := range digests {
			if result, err = s.Play(1, scenario.CurrentScheduler); err != nil {
				return err
			}
			digests[i] = result.Digest
			fmt.Fprintf(out, "%s, run %d: digest %s, %.3f in time, %d nodes pushed over, %d rules broken\n", s.Name, i+1,
				result.Digest, result.Share(), result.Fallen, len(result.Breaks))
		}
		for _, line := range result.Breaks {
			fmt.Fprintln(out, "broken:", line)
		}
		if digests[0] != digests[1] || result.Fallen > 0 || len(result.Breaks) > 0 {
			failed = errors.Join(failed, fmt.Errorf("%s: the digests differ, a rule was broken or a node was overloaded", name))
		}
		summary = append(summary, fmt.Sprintf("%s twice %s, %.3f in time, %d pushed over, %d rules broken", strings.TrimSuffix(filepath.Base(name), ".toml"),
			digests[0], result.Share(), result.Fallen, len(result.Breaks)))
	}
	fmt.Fprintln(out, "rehearse:", strings.Join(summary, "; "))
	return failed
}

type speedCommand struct {
	Nodes  []int `help:"Numbers of nodes." default:"10,100,1000"`
	Fronts int   `help:"Number of fronts." default:"80"`
}

// Run simulates 10 s of load without incidents for each number of nodes. The load grows with the number of nodes.
func (c speedCommand) Run(out io.Writer) error {
	for _, nodes := range c.Nodes {
		s, err := scenario.Calm(nodes, c.Fronts, 10*time.Second)
		if err != nil {
			return err
		}
		began := time.Now()
		r, err := s.Play(1, scenario.CurrentScheduler)
		if err != nil {
			return err
		}
		took := time.Since(began)
		fmt.Fprintf(out, "speed: %d nodes, %d fronts: %d requests in %.1f s, %.1f virtual seconds per second, %.0f us per request, %.3f in time\n", nodes, c.Fronts,
			r.Requests, took.Seconds(), s.Length.Seconds()/took.Seconds(), took.Seconds()*1e6/float64(r.Requests), r.Share())
	}
	return nil
}

type agreeCommand struct {
	Days      int           `help:"Number of runs." default:"4"`
	Length    time.Duration `help:"Duration of each run." default:"20s"`
	Tolerance float64       `help:"Maximum difference of the share of worth served in time." default:"0.03"`
}

// Run compares sockets and virtual time on runs without other incidents in which a quarter of the nodes fails.
func (c agreeCommand) Run(out io.Writer) error {
	if c.Days < 1 {
		return errors.New("--days must be above 0")
	}
	s, err := scenario.Calm(8, 2, c.Length)
	if err != nil {
		return err
	}
	s.Happens = []scenario.Event{{At: c.Length / 3, What: "die", Share: 0.25, Back: c.Length / 5}}
	maxDifference := 0.0
	var failed error
	for seed := range uint64(c.Days) {
		simulated, err := s.Play(seed+1, scenario.CurrentScheduler)
		if err != nil {
			return err
		}
		measured, err := sockets.Play(s, seed+1)
		if err != nil {
			return err
		}
		maxDifference = max(maxDifference, math.Abs(measured.Share()-simulated.Share()))
		fmt.Fprintf(out, "day %d: %.3f in time on sockets, %.3f in virtual time; reads %.0f and %.0f ms in the median, %.0f and %.0f at 99%%\n", seed+1,
			measured.Share(), simulated.Share(),
			float64(measured.Latency[0].ValueAtQuantile(50))/1000, float64(simulated.Latency[0].ValueAtQuantile(50))/1000,
			float64(measured.Latency[0].ValueAtQuantile(99))/1000, float64(simulated.Latency[0].ValueAtQuantile(99))/1000)
		if len(measured.Breaks) > 0 || measured.Fallen > 0 {
			failed = fmt.Errorf("day %d on sockets: %d nodes pushed over, %v", seed+1, measured.Fallen, measured.Breaks)
		}
	}
	fmt.Fprintf(out, "agree: %d days of %v, worth in time differs by at most %.3f, %.3f is allowed\n",
		c.Days, c.Length, maxDifference, c.Tolerance)
	if maxDifference > c.Tolerance {
		failed = errors.Join(failed, fmt.Errorf("worth in time differs by %.3f between sockets and virtual time", maxDifference))
	}
	return failed
}
