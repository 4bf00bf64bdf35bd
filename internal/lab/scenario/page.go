package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"otterturn/internal/lab/world"
	"otterturn/scheduler"
)

// maxWrittenTraces limits the traces that JSON writes of a variant's first day.
const maxWrittenTraces = 300

// JSON writes comparisons as JSON, with the traces of those requests of each variant's first day that were not served in
// time.
func JSON(out io.Writer, all []Comparison) error {
	type causes struct {
		Variant string
		Causes  []Cause
		Traces  []Trace
	}
	type entry struct {
		Comparison
		Causes []causes
	}
	var entries []entry
	for _, c := range all {
		e := entry{Comparison: c}
		for _, r := range c.Rows {
			traces := slices.DeleteFunc(slices.Clone(r.Days[0].Traces), func(t Trace) bool { return t.Verdict == world.Served.String() })
			e.Causes = append(e.Causes, causes{r.Variant, Causes(traces), traces[:min(len(traces), maxWrittenTraces)]})
		}
		entries = append(entries, e)
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", " ")
	return enc.Encode(entries)
}

// lineColors are the line colours of the variants, distinguishable with colour vision deficiency.
var lineColors = []color.Color{
	color.RGBA{0, 90, 181, 255},
	color.RGBA{220, 50, 32, 255},
	color.RGBA{120, 120, 120, 255},
	color.RGBA{230, 159, 0, 255},
	color.RGBA{0, 158, 115, 255},
	color.RGBA{86, 60, 140, 255},
}

// plotSVG plots lines and returns an SVG element.
func plotSVG(title, x, y string, maxY float64, lines []plotter.XYs, names []string, log bool) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.Left = log, true
	p.Legend.ThumbnailWidth = vg.Points(18)
	for i, points := range lines {
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color, line.Width = lineColors[i%len(lineColors)], vg.Points(1.4)
		p.Add(line)
		p.Legend.Add(names[i], line)
	}
	p.Add(plotter.NewGrid())
	if maxY > 0 {
		p.Y.Min, p.Y.Max = 0, maxY
	}
	if log {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	c := vgsvg.New(16*vg.Centimeter, 8*vg.Centimeter)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i >= 0 { // skip the XML header, which is only for a separate file
		text = text[i:]
	}
	return template.HTML(text), nil
}

// pageEntry is a comparison as the page template reads it.
type pageEntry struct {
	Comparison
	Seeds         int
	Head          string
	Time, Latency template.HTML
	Causes        []Cause
	Traced        int
	Why           []string
}

func (c Comparison) pageEntry() (p pageEntry, err error) {
	p = pageEntry{Comparison: c, Seeds: len(c.Rows[0].Days), Causes: Causes(c.Rows[0].Days[0].Traces), Traced: len(c.Rows[0].Days[0].Traces)}
	_, p.Why = c.CheckRules()
	p.Head = fmt.Sprintf("%d fronts, %d nodes, %v", c.Scenario.Fronts, c.Scenario.Nodes.Count, c.Scenario.Length)
	var served, latency []plotter.XYs
	var names []string
	for _, r := range c.Rows {
		var xy plotter.XYs
		for i := 1; i < len(r.Days[0].Seconds)-1; i++ {
			var sum Second
			for _, d := range r.Days {
				sum.Asked, sum.Served = sum.Asked+d.Seconds[i].Asked, sum.Served+d.Seconds[i].Served
			}
			xy = append(xy, plotter.XY{X: float64(i), Y: sum.Served / max(sum.Asked, 1)})
		}
		served, names = append(served, xy), append(names, r.Variant)
		var q plotter.XYs
		for k := 0.0; k <= 3.0001; k += 0.1 { // number of nines of the quantile: 1 is 90%, 2 is 99%
			ms := float64(r.latencies[0].ValueAtQuantile(100-100*math.Pow(10, -k))) / 1000
			q = append(q, plotter.XY{X: k, Y: max(ms, 0.1)})
		}
		latency = append(latency, q)
	}
	if p.Time, err = plotSVG("Worth served in time, of that asked for in a second",
		"seconds", "share", 1.05, served, names, false); err != nil {
		return p, err
	}
	p.Latency, err = plotSVG("Latency of '"+c.Scenario.mix.Kinds[0].Name+"', since it was meant to be sent",
		"nines (1: 90%, 2: 99%, 3: 99.9%)",
		"milliseconds", 0, latency, names, true)
	return p, err
}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(of map[string]float64, what string) string { return fmt.Sprintf("%.1f%%", 100*of[what]) },
	"three":   func(x float64) string { return fmt.Sprintf("%.3f", x) },
	"ms":      func(t scheduler.Micros) string { return fmt.Sprintf("%.0f", float64(t)/1000) },
	"seconds": func(t scheduler.Micros) string { return fmt.Sprintf("%.3f", float64(t)/1e6) },
	"parts":   func(r Row) map[string]float64 { return r.verdictShares },
	"share":   func(n, of int) string { return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(max(of, 1))) },
}).Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Rehearsals</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; max-width: 78rem; margin: 2rem auto; padding: 0 1rem; color: #222 }
table { border-collapse: collapse; margin: .8rem 0 } td, th { padding: .2rem .6rem; text-align: right; border-bottom: 1px solid #ddd }
td:first-child, th:first-child, td.text, th.text { text-align: left } h2 { margin-top: 2.4rem } .plots svg { max-width: 100%; height: auto }
.broken { color: #b00 } .note { color: #666 }
</style>
<h1>Rehearsals</h1>
{{range .}}<h2>{{.Name}}</h2>
<p>{{.Head}}, {{.Seeds}} seeds.</p>
{{range .Why}}<p class="broken">broken: {{.}}</p>{{end}}
<table><tr><th>decides<th>in time<th>worst 10 s<th>late<th>refused<th>failed<th>pushed over<th>rules broken<th>behind the first by
{{range (index .Rows 0).Quantiles}}<th>{{.Kind}} 50 / 99 / 99.9%, ms{{end}}</tr>
{{range .Rows}}{{$parts := parts .}}<tr><td>{{.Variant}}<td>{{three .Share}}<td>{{three .Worst}}<td>{{percent $parts "late"}}<td>{{percent $parts "refused"}}
<td>{{percent $parts "failed"}}<td>{{.Fallen}}<td>{{.Broken}}<td>{{.Difference}}
{{range .Quantiles}}<td>{{printf "%.0f / %.0f / %.0f" .Half .Nearly .All}}{{end}}</tr>
{{end}}</table>
<div class="plots">{{.Time}}{{.Latency}}</div>
<h3>Why not in time</h3>
<p class="note">Of {{.Traced}} requests of the first day that were traced, as '{{(index .Rows 0).Variant}}' decided. Held is the time at the front.</p>
{{$traced := .Traced}}<table><tr><th>ended<th class="text">reason<th class="text">longest stay<th>share<th>held, ms<th>in all, ms<th class="text">the longest one</tr>
{{range .Causes}}<tr><td>{{.Verdict}}<td class="text">{{.Why}}<td class="text">{{.Where}}<td>{{share .Count $traced}}<td>{{ms .Held}}<td>{{ms .Total}}
<td class="text">{{.Worst.Kind}} {{.Worst.ID}} of {{.Worst.Units}} units at {{seconds .Worst.At}} s, front {{.Worst.Front}}{{range .Worst.Attempts}};
 after {{ms .From}} ms {{.Node}} {{.Result}} in {{ms .For}} ms{{end}}</tr>
{{end}}</table>
{{end}}</html>
`))

// Page writes comparisons as an HTML page with plots.
func Page(out io.Writer, all []Comparison) error {
	var pictures []pageEntry
	for _, c := range all {
		p, err := c.pageEntry()
		if err != nil {
			return fmt.Errorf("%s: %w", c.Name, err)
		}
		pictures = append(pictures, p)
	}
	return pageTemplate.Execute(out, pictures)
}
