package hollow

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"
)

// columns holds the names of the columns.
var columns = []string{
	"event", "role", "figure", "formula", "health", "grows as", "slope a front", "residual", "1,200 x 1,800", "budget", "ratio",
	"mechanism",
}

// Print writes the lines as a table, in Markdown on request, then a table of the values at each size, and last the highest
// ratio of each variant.
func Print(out io.Writer, lines []Line, markdown bool) error {
	var rows, sizes [][]string
	for i := range lines {
		l := &lines[i]
		rows = append(rows, l.cells())
		sizes = append(sizes, []string{l.Phase, l.Role, l.What + unitSuffix(l), formatOnOff(l.Health), l.formatBySize()})
	}
	if err := writeTable(out, columns, rows, markdown); err != nil {
		return err
	}
	fmt.Fprintln(out)
	if err := writeTable(out, []string{"event", "role", "figure", "health", "measured, fronts: value"}, sizes, markdown); err != nil {
		return err
	}
	fmt.Fprintln(out)
	for _, health := range []bool{true, false} {
		if w := Worst(lines, health); w != nil && w.Ratio > 0 {
			fmt.Fprintf(out, "worst ratio, health %s: %s, %s: %s: %s\n", formatOnOff(health), formatNumber(w.Ratio), w.Phase, w.Role, w.What)
		}
	}
	return nil
}

func writeTable(out io.Writer, header []string, rows [][]string, markdown bool) error {
	if markdown {
		dashes := strings.Split(strings.Repeat("---,", len(header)-1)+"---", ",")
		for _, r := range append([][]string{header, dashes}, rows...) {
			if _, err := fmt.Fprintf(out, "| %s |\n", strings.Join(r, " | ")); err != nil {
				return err
			}
		}
		return nil
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, r := range append([][]string{header}, rows...) {
		fmt.Fprintln(t, strings.Join(r, "\t"))
	}
	return t.Flush()
}

func (l *Line) cells() []string {
	at := formatNumber(l.AtFullSize)
	switch {
	case !l.Measured:
		at = "~" + at
	case l.LowerBound:
		at = ">=" + at
	}
	budget, ratio := "", ""
	if l.Budget > 0 {
		budget, ratio = formatNumber(l.Budget), formatNumber(l.Ratio)
	}
	return []string{
		l.Phase, l.Role, l.What + unitSuffix(l), l.Formula, formatOnOff(l.Health), l.Fit.formatGrowth(),
		l.Fit.formatSlope(), l.Fit.formatResidual(), at, budget, ratio,
		l.Mechanism,
	}
}

func unitSuffix(l *Line) string {
	if l.Unit == "" {
		return ""
	}
	return ", " + l.Unit
}

func formatOnOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

func (l *Line) formatBySize() string {
	var out []string
	for i, s := range l.Sizes {
		out = append(out, formatNumber(s)+": "+formatNumber(l.Values[i]))
	}
	return strings.Join(out, "; ")
}

// formatGrowth returns the power law by which a figure grows with the number of fronts.
func (f Fit) formatGrowth() string {
	if math.IsNaN(f.Exponent) {
		return "-"
	}
	text := fmt.Sprintf("n^(%.2f ± %.2f)", f.Exponent, f.ExponentError)
	if f.isSuperlinear() {
		text += " superlinear"
	}
	return text
}

func (f Fit) formatSlope() string {
	if f.Sizes < 3 {
		return "-"
	}
	return fmt.Sprintf("%s ± %s", formatNumber(f.Slope), formatNumber(f.SlopeError))
}

func (f Fit) formatResidual() string {
	if f.Residual == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*f.Residual)
}

// formatNumber formats a value with three significant digits, or from 1,000 as a whole number with commas.
func formatNumber(v float64) string {
	switch a := math.Abs(v); {
	case math.IsNaN(v):
		return "not known"
	case a >= 1000:
		return addCommas(strconv.FormatFloat(v, 'f', 0, 64))
	case a >= 100:
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}

func addCommas(digits string) string {
	sign := ""
	if digits[0] == '-' {
		sign, digits = "-", digits[1:]
	}
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return sign + digits
}
