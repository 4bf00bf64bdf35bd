package soak

import (
	"fmt"
	"strings"

	"otterturn/internal/soak/audit"
)

// Result summarizes a run.
type Result struct {
	Scenario   Scenario
	PeakMemory int64 // of a process, in bytes
	Requests   int
	Answered   int
	Attempts   int
	Processes  int
	Violations []audit.Violation
}

// String returns a one-line summary.
func (r Result) String() string {
	crowd := ""
	if r.Scenario.CrowdSize > 0 {
		crowd = fmt.Sprintf(", a crowd of %d (%s)", r.Scenario.CrowdSize, r.Scenario.CrowdKind)
	}
	return fmt.Sprintf("seed %d: %d processes%s, %.1f of %d MB, longest deadline %v, %d requests, %d answered, %d attempts, %d violations",
		r.Scenario.Seed, r.Processes, crowd, float64(r.PeakMemory)/(1<<20), r.Scenario.MemoryMB, r.Scenario.Longest, r.Requests, r.Answered,
		r.Attempts, len(r.Violations))
}

// Report returns the summary with the first violations of each rule.
func (r Result) Report() string {
	const shown = 4 // per rule
	var out strings.Builder
	fmt.Fprintln(&out, r)
	count := map[string]int{}
	for _, v := range r.Violations {
		if count[v.Rule]++; count[v.Rule] <= shown {
			fmt.Fprintln(&out, " ", v)
		}
	}
	for rule, n := range count {
		fmt.Fprintf(&out, "  %d violations of rule %q\n", n, rule)
	}
	return out.String()
}
