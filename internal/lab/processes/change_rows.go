package processes

import (
	"fmt"
	"slices"

	"otterturn/internal/limits"
)

// changeRows returns the rows on changes by the number of fronts.
func (l *Lab) changeRows(onRequest bool, agentReloadMs float64, pushed, reloaded []changeCost) []Row {
	askers := 0
	if onRequest {
		askers = sizeFronts
	}
	sizeText := formatSizes(l.Plan.Fronts, "fronts")
	slowestMs := func(all []changeCost) (out []float64) {
		for _, h := range all {
			out = append(out, slices.Max(h.newNodeMs))
		}
		return out
	}
	pushedFit, reloadedFit := fit(toFloats(l.Plan.Fronts), slowestMs(pushed)), fit(toFloats(l.Plan.Fronts), slowestMs(reloaded))
	spread := float64(limits.New(limits.Site{
		MemoryMB: ampleMemoryMB, Sockets: ampleSockets, DiscoveryFronts: askers,
	}).Discovery.StartSpread.Milliseconds())
	note := "what the most fronts took; seen by requests that come at random, 5 ms apart on the mean up to 8 fronts and 20 ms at 32, of which " +
		"the latest counts: most of it is that wait"
	rows := []Row{
		{
			Measure: "a list change until in force at all fronts, " + modeName(onRequest), Sizes: sizeText, Fit: pushedFit, SlopeUnit: "ms a front",
			Value: slowestMs(pushed)[len(pushed)-1], ValueUnit: "ms", Budget: budgetChange, Note: note,
		},
		{
			Measure: "SIGHUP until the new list is in force, " + modeName(onRequest), Sizes: sizeText, Fit: reloadedFit, SlopeUnit: "ms a front",
			Value: spread + agentReloadMs, ValueUnit: "ms", Budget: budgetChange,
			Note: fmt.Sprintf("%.0f ms that the most fronts took with agents, and %.0f ms in which 1,200 fronts begin their watches; "+
				"whether discovery bears so many is the row of its lines", agentReloadMs, spread),
		},
	}
	if onRequest {
		counts, entries := toFloats(l.Plan.Fronts), []float64{}
		for _, h := range reloaded {
			entries = append(entries, float64(h.entries))
		}
		entryFit := fit(counts, entries)
		rows = append(rows, Row{
			Measure: "lines that one discovery sends behind SIGHUP of all fronts", Sizes: fmt.Sprintf("%s, %d nodes", sizeText, baseListLength),
			Fit: entryFit, SlopeUnit: "lines a front", Value: entryFit.Slope / baseListLength * sizeFronts * sizeNodes, ValueUnit: "lines",
			Budget: budgetLines,
			Note:   "each front has the whole list; 14,000 lines a second are what a discovery bears at best (docs/fleet.md), in 4 s",
		})
	}
	return rows
}

// listLengthRows returns the rows on the full list by its length.
func (l *Lab) listLengthRows(all []changeCost) []Row {
	var bytes, slowestMs []float64
	for _, h := range all {
		bytes, slowestMs = append(bytes, float64(h.bytes)), append(slowestMs, slices.Max(h.newNodeMs))
	}
	counts, sizeText := toFloats(l.Plan.Lists), formatSizes(l.Plan.Lists, "nodes")
	byteFit, timeFit := fit(counts, bytes), fit(counts, slowestMs)
	return []Row{
		{
			Measure: "bytes of the whole list, for a front behind SIGHUP", Sizes: sizeText, Fit: byteFit, SlopeUnit: "bytes a node",
			Value: byteFit.At(sizeNodes) / 1024, ValueUnit: "KB",
			Budget: budgetListBytes, Note: "this stand-in writes an entry as the platform does, with names and addresses of its own length",
		},
		{
			Measure: "SIGHUP until the new list is in force at one front, by its length", Sizes: sizeText, Fit: timeFit, SlopeUnit: "ms a node",
			Value: timeFit.At(sizeNodes), ValueUnit: "ms", Budget: budgetChange,
		},
	}
}
