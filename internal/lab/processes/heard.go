package processes

import (
	"fmt"
	"slices"

	"otterturn/internal/limits"
)

// heardRows returns the rows on changes by the number of fronts.
func (l *Lab) heardRows(asked bool, bare float64, pushed, reread []heard) []Row {
	askers := 0
	if asked {
		askers = sizeFronts
	}
	sized := sizes(l.Plan.Fronts, "fronts")
	late := func(all []heard) (out []float64) {
		for _, h := range all {
			out = append(out, slices.Max(h.inForce))
		}
		return out
	}
	told, again := fit(floats(l.Plan.Fronts), late(pushed)), fit(floats(l.Plan.Fronts), late(reread))
	spread := float64(limits.For(limits.Site{MemoryMB: wideMemoryMB, Sockets: wideSockets, Askers: askers}).Discovery.StartSpread.Milliseconds())
	note := "what the most fronts took; seen by requests that come at random, 5 ms apart on the mean up to 8 fronts and 20 ms at 32, of which " +
		"the latest counts: most of it is that wait"
	rows := []Row{
		{
			Measure: "a list change until in force at all fronts, " + mode(asked), Sizes: sized, Fit: told, Unit: "ms a front",
			Value: late(pushed)[len(pushed)-1], In: "ms", Budget: budgetChange, Note: note,
		},
		{
			Measure: "SIGHUP until the new list is in force, " + mode(asked), Sizes: sized, Fit: again, Unit: "ms a front",
			Value: spread + bare, In: "ms", Budget: budgetChange,
			Note: fmt.Sprintf("%.0f ms that the most fronts took with agents, and %.0f ms in which 1,200 fronts begin their watches; "+
				"whether discovery bears so many is the row of its lines", bare, spread),
		},
	}
	if asked {
		counts, lines := floats(l.Plan.Fronts), []float64{}
		for _, h := range reread {
			lines = append(lines, float64(h.lines))
		}
		f := fit(counts, lines)
		rows = append(rows, Row{
			Measure: "lines that one discovery sends behind SIGHUP of all fronts", Sizes: fmt.Sprintf("%s, %d nodes", sized, smallestList),
			Fit: f, Unit: "lines a front", Value: f.Slope / smallestList * sizeFronts * sizeNodes, In: "lines", Budget: budgetLines,
			Note: "each front has the whole list; 14,000 lines a second are what a discovery bears at best (docs/fleet.md), in 4 s",
		})
	}
	return rows
}

// listRows returns the rows on the whole list by its length.
func (l *Lab) listRows(all []heard) []Row {
	var bytes, took []float64
	for _, h := range all {
		bytes, took = append(bytes, float64(h.bytes)), append(took, slices.Max(h.inForce))
	}
	counts, sized := floats(l.Plan.Lists), sizes(l.Plan.Lists, "nodes")
	size, time := fit(counts, bytes), fit(counts, took)
	return []Row{
		{
			Measure: "bytes of the whole list, for a front behind SIGHUP", Sizes: sized, Fit: size, Unit: "bytes a node", Value: size.At(sizeNodes) / 1024, In: "KB",
			Budget: budgetListBytes, Note: "this stand-in writes an entry as the platform does, with names and addresses of its own length",
		},
		{
			Measure: "SIGHUP until the new list is in force at one front, by its length", Sizes: sized, Fit: time, Unit: "ms a node",
			Value: time.At(sizeNodes), In: "ms", Budget: budgetChange,
		},
	}
}
