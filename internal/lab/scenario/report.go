package scenario

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat/distuv"

	"otterturn/internal/lab/world"
)

// Comparison holds the results of a scenario for several variants, each run with the seeds from 1.
type Comparison struct {
	Scenario Scenario `json:"-"`
	Name     string
	Rows     []Row
}

// Row holds the results of one variant.
type Row struct {
	Variant       string
	Share         float64 // median of the shares served in time
	Worst         float64 // median of Result.Worst
	Fallen        int
	Broken        int
	Behind        float64 // mean over the seeds by which the first variant's share is higher
	Within        float64 // half of the 90% confidence interval of Behind (Student's t); 0 with a single seed
	HasBehind     bool
	Quantiles     []Quantiles
	Days          []Result
	latencies     []*hdrhistogram.Histogram
	verdictShares map[string]float64
}

// Difference formats by how much the first variant's share is higher.
func (r Row) Difference() string {
	switch {
	case !r.HasBehind:
		return ""
	case len(r.Days) < 2:
		return fmt.Sprintf("%.3f", r.Behind)
	}
	return fmt.Sprintf("%.3f ± %.3f", r.Behind, r.Within)
}

// Quantiles are latencies of one kind of request, in milliseconds since the planned send time.
type Quantiles struct {
	Kind                    string
	Half, Most, Nearly, All float64 // the 50%, 90%, 99% and 99.9% quantiles
}

// Compare runs a scenario with each variant.
func (s Scenario) Compare(seeds int, variants []Variant) (Comparison, error) {
	c := Comparison{Scenario: s, Name: s.Name}
	for i, v := range variants {
		row := Row{Variant: v.Name, verdictShares: map[string]float64{}}
		for range s.mix.Kinds {
			row.latencies = append(row.latencies, hdrhistogram.New(1, maxLatency, 3))
		}
		requests := 0
		var shares, worst, behind []float64
		for seed := range uint64(seeds) {
			r, err := s.Play(seed+1, v)
			if err != nil {
				return c, fmt.Errorf("%s: %s: %w", s.Name, v.Name, err)
			}
			shares, worst = append(shares, r.Share()), append(worst, r.Worst)
			for ended, n := range r.Ended {
				row.verdictShares[ended] += float64(n)
			}
			for k, h := range r.Latency {
				row.latencies[k].Merge(h)
			}
			requests, row.Fallen, row.Broken = requests+r.Requests, row.Fallen+r.Fallen, row.Broken+len(r.Breaks)
			if i > 0 {
				behind = append(behind, c.Rows[0].Days[seed].Share()-r.Share())
			}
			if seed > 0 { // causes are reported for the first day only
				r.Traces = nil
			}
			row.Days = append(row.Days, r)
		}
		for ended := range row.verdictShares {
			row.verdictShares[ended] /= float64(requests)
		}
		row.Share, row.Worst, row.HasBehind = median(shares), median(worst), i > 0
		row.Behind, row.Within = confidenceInterval(behind)
		for k, h := range row.latencies {
			ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
			row.Quantiles = append(row.Quantiles, Quantiles{s.mix.Kinds[k].Name, ms(50), ms(90), ms(99), ms(99.9)})
		}
		c.Rows = append(c.Rows, row)
	}
	return c, nil
}

// CheckRules reports whether the first variant broke no rule and made no node fail on any day, and returns the first violations:
// up to 3 per day and 10 in total.
func (c Comparison) CheckRules() (kept bool, why []string) {
	kept = true
	for _, r := range c.Rows[0].Days {
		kept = kept && r.keptRules()
		why = append(why, r.Breaks[:min(3, len(r.Breaks))]...)
	}
	return kept, why[:min(10, len(why))]
}

// Table writes the comparison as a plain-text table.
func (c Comparison) Table(out io.Writer) error {
	s := c.Scenario
	fmt.Fprintf(out, "%s: %d fronts, %d nodes, %v, %d seeds\n", s.Name, s.Fronts, s.Nodes.Count, s.Length, len(c.Rows[0].Days))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "decides\tin time\tworst 10 s\tlate\trefused\tfailed\tpushed over\trules broken\tbehind the first by\t")
	for _, k := range s.mix.Kinds {
		fmt.Fprintf(w, "%s 50/99%% ms\t", k.Name)
	}
	fmt.Fprintln(w)
	for _, r := range c.Rows {
		part := func(v world.Verdict) string { return fmt.Sprintf("%.1f%%", 100*r.verdictShares[v.String()]) }
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%s\t%s\t%s\t%d\t%d\t%s\t", r.Variant, r.Share, r.Worst, part(world.Late),
			part(world.Refused), part(world.Failed), r.Fallen, r.Broken, r.Difference())
		for _, q := range r.Quantiles {
			fmt.Fprintf(w, "%.0f/%.0f\t", q.Half, q.Nearly)
		}
		fmt.Fprintln(w)
	}
	w.Flush()
	if _, why := c.CheckRules(); len(why) > 0 {
		for _, line := range why {
			fmt.Fprintln(out, "broken:", line)
		}
	}
	_, err := fmt.Fprintln(out)
	return err
}

func median(all []float64) float64 {
	sorted := slices.Sorted(slices.Values(all))
	return sorted[len(sorted)/2]
}

// confidenceInterval returns the mean and half of its 90% confidence interval by the t distribution. With a single value the second
// result is 0.
func confidenceInterval(all []float64) (mean, half float64) {
	n := float64(len(all))
	for _, x := range all {
		mean += x / n
	}
	if n < 2 {
		return mean, 0
	}
	squares := 0.0
	for _, x := range all {
		squares += (x - mean) * (x - mean)
	}
	return mean, distuv.StudentsT{Sigma: 1, Nu: n - 1}.Quantile(0.95) * math.Sqrt(squares/(n-1)/n)
}
