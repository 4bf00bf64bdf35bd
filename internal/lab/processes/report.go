package processes

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// Row is a result: the line through the measured points, and its value at the size of the whole fleet.
type Row struct {
	Measure   string
	Sizes     string
	Fit       Fit // without points if the value was measured once, at the size of the fleet
	SlopeUnit string
	Value     float64 // at the size of the fleet
	ValueUnit string  // unit of the value and of the budget
	Budget    float64 // 0 for none
	Note      string
}

// Ratio returns the value divided by its budget, 0 without a budget.
func (r Row) Ratio() float64 {
	if r.Budget == 0 {
		return 0
	}
	return r.Value / r.Budget
}

// headings holds the headings of the table.
var headings = []string{"measure", "sizes", "slope", "residual", "at 1,200 x 1,800", "budget", "ratio", "note"}

// cells returns the texts of a row's cells.
func (r Row) cells() []string {
	slope, residual, budget, ratio := "measured at size", "", "none", ""
	if r.Fit.Points > 0 {
		slope = fmt.Sprintf("%s ± %s %s", formatNumber(r.Fit.Slope), formatNumber(r.Fit.SlopeError), r.SlopeUnit)
		residual = formatNumber(r.Fit.Residual)
		if r.Fit.Superlinear {
			residual += ", grows faster than linearly"
		}
	}
	if r.Budget > 0 {
		budget, ratio = formatNumber(r.Budget)+" "+r.ValueUnit, formatNumber(r.Ratio())
	}
	return []string{r.Measure, r.Sizes, slope, residual, formatNumber(r.Value) + " " + r.ValueUnit, budget, ratio, r.Note}
}

// formatNumber formats a number with three significant digits, from 100 as an integer.
func formatNumber(v float64) string {
	if math.IsNaN(v) {
		return "?"
	}
	if a := math.Abs(v); a >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// Markdown writes rows as a table.
func Markdown(out io.Writer, rows []Row) {
	fmt.Fprintf(out, "| %s |\n|%s\n", strings.Join(headings, " | "), strings.Repeat(" --- |", len(headings)))
	for _, r := range rows {
		fmt.Fprintf(out, "| %s |\n", strings.Join(r.cells(), " | "))
	}
}

// Text writes rows for a terminal.
func Text(out io.Writer, rows []Row) {
	for _, r := range rows {
		c := r.cells()
		fmt.Fprintf(out, "%s (%s)\n    slope %s, residual %s; at size %s, budget %s, ratio %s\n", c[0], c[1], c[2], c[3], c[4], c[5], c[6])
		if r.Note != "" {
			fmt.Fprintf(out, "    %s\n", r.Note)
		}
	}
}

// Worst describes the row with the largest ratio to its budget.
func Worst(rows []Row) string {
	worst := Row{}
	for _, r := range rows {
		if r.Ratio() > worst.Ratio() {
			worst = r
		}
	}
	if worst.Budget == 0 {
		return "worst ratio: none, as no row has a budget"
	}
	return fmt.Sprintf("worst ratio: %s, %s: %s %s of %s", formatNumber(worst.Ratio()), worst.Measure, formatNumber(worst.Value),
		worst.ValueUnit, formatNumber(worst.Budget))
}

// formatSizes formats the measured sizes.
func formatSizes[T any](values []T, unit string) string {
	var words []string
	for _, v := range values {
		words = append(words, fmt.Sprint(v))
	}
	return strings.Join(words, ", ") + " " + unit
}

// toFloats converts numbers for a fit.
func toFloats[T int | int64 | float64](values []T) []float64 {
	var out []float64
	for _, v := range values {
		out = append(out, float64(v))
	}
	return out
}

const pageHead = `# Measured: fronts as processes

Written by "make processes MARKDOWN=docs/capacity/processes.md": the built program on loopback, before stand-in nodes and a
stand-in discovery in the measuring process. Figures are from /proc: processor time is what the threads ran, and no wait is among
it; but shared caches and cores slow a busy machine's threads, so that the same measure came out up to 1.8 times as high under load.
Memory, descriptors, lines and probes go by no clock. Slopes are those of a straight line by least squares, with the standard
error; the residual is the points' standard deviation about the line, in bytes, milliseconds, or microseconds a second. MB and KB
are 1,048,576 and 1,024 bytes.

`

// Page writes rows as the page of figures. load describes how busy the machine was.
func Page(out io.Writer, rows []Row, load string) {
	fmt.Fprintf(out, "%s%s\n\n", pageHead, load)
	Markdown(out, rows)
	fmt.Fprintf(out, "\n%s.\n", strings.ToUpper(Worst(rows)[:1])+Worst(rows)[1:])
}
