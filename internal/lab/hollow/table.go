package hollow

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"
)

// header holds the names of the columns.
var header = []string{"event", "role", "figure", "formula", "health", "grows as", "slope a front", "residual", "1,200 x 1,800", "budget", "ratio", "mechanism"}

// Print writes the lines as a table, in Markdown on request, then a table of the values at each size, and last the highest
// ratio of each variant.
func Print(out io.Writer, lines []Line, markdown bool) error {
	var rows, sizes [][]string
	for i := range lines {
		l := &lines[i]
		rows = append(rows, l.cells())
		sizes = append(sizes, []string{l.Phase, l.Role, l.What + unit(l), onOff(l.Health), l.bySize()})
	}
	if err := table(out, header, rows, markdown); err != nil {
		return err
	}
	fmt.Fprintln(out)
	if err := table(out, []string{"event", "role", "figure", "health", "measured, fronts: value"}, sizes, markdown); err != nil {
		return err
	}
	fmt.Fprintln(out)
	for _, health := range []bool{true, false} {
		if w := Worst(lines, health); w != nil && w.Ratio > 0 {
			fmt.Fprintf(out, "worst ratio, health %s: %s, %s: %s: %s\n", onOff(health), number(w.Ratio), w.Phase, w.Role, w.What)
		}
	}
	return nil
}

func table(out io.Writer, header []string, rows [][]string, markdown bool) error {
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
	at := number(l.Full)
	switch {
	case !l.Measured:
		at = "~" + at
	case l.Least:
		at = ">=" + at
	}
	budget, ratio := "", ""
	if l.Budget > 0 {
		budget, ratio = number(l.Budget), number(l.Ratio)
	}
	return []string{
		l.Phase, l.Role, l.What + unit(l), l.Formula, onOff(l.Health), l.Fit.growth(), l.Fit.slope(), l.Fit.residual(), at, budget, ratio,
		l.Mechanism,
	}
}

func unit(l *Line) string {
	if l.Unit == "" {
		return ""
	}
	return ", " + l.Unit
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

func (l *Line) bySize() string {
	var out []string
	for i, s := range l.Sizes {
		out = append(out, number(s)+": "+number(l.Values[i]))
	}
	return strings.Join(out, "; ")
}

// growth returns the power law by which a figure grows with the number of fronts.
func (f Fit) growth() string {
	if math.IsNaN(f.Exponent) {
		return "-"
	}
	text := fmt.Sprintf("n^(%.2f ± %.2f)", f.Exponent, f.ExpError)
	if f.superlinear() {
		text += " superlinear"
	}
	return text
}

func (f Fit) slope() string {
	if f.Sizes < 3 {
		return "-"
	}
	return fmt.Sprintf("%s ± %s", number(f.Slope), number(f.Error))
}

func (f Fit) residual() string {
	if f.Residual == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*f.Residual)
}

// number formats a value with three significant digits, or from 1,000 as a whole number with commas.
func number(v float64) string {
	switch a := math.Abs(v); {
	case math.IsNaN(v):
		return "not known"
	case a >= 1000:
		return commas(strconv.FormatFloat(v, 'f', 0, 64))
	case a >= 100:
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}

func commas(digits string) string {
	sign := ""
	if digits[0] == '-' {
		sign, digits = "-", digits[1:]
	}
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return sign + digits
}
