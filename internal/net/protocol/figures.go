package protocol

import (
	"fmt"
	"strings"
)

// figurePrefix stands before the name of each figure.
const figurePrefix = "svc."

// Ended counts a class's requests by how they ended, since the process started.
type Ended struct {
	Class                   string
	Served, Refused, Failed int64
}

// Figures are what operators are told of a process. Counts are since it started.
type Figures struct {
	Classes       []Ended
	Attempts      int64 // written whole to nodes
	InFlight      int64 // requests taken and not over
	Known         int   // nodes on the list
	Excluded      int   // of these, those that get nothing now, by hand or by choice
	ReloadsOK     int64
	ReloadsFailed int64
}

// FormatFigures writes figures, one a line: name, value, and 'c' for a count or 'g' for what goes up and down.
func FormatFigures(f Figures) string {
	var out strings.Builder
	line := func(kind, name string, value int64) {
		fmt.Fprintf(&out, "%s%s:%d|%s\n", figurePrefix, name, value, kind)
	}
	for _, c := range f.Classes {
		line("c", "served."+c.Class, c.Served)
		line("c", "refused."+c.Class, c.Refused)
		line("c", "failed."+c.Class, c.Failed)
	}
	line("c", "attempts", f.Attempts)
	line("g", "in_flight", f.InFlight)
	line("g", "chunk_servers_known", int64(f.Known))
	line("g", "chunk_servers_excluded", int64(f.Excluded))
	line("c", "reloads_ok", f.ReloadsOK)
	line("c", "reloads_failed", f.ReloadsFailed)
	return out.String()
}
