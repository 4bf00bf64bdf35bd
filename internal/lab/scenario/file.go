// Package scenario rehearses incidents: a file says what nodes, fronts and load there are and what happens to them, and
// the true decision module goes through it, in virtual time or on sockets. In virtual time the same seed has the same
// outcome.
package scenario

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Scenario is a file.
type Scenario struct {
	Name   string
	Length time.Duration
	Fronts int
	Told   time.Duration // a front hears of the node list up to so long after it has changed
	Nodes  struct {
		Count    int
		Halls    int // that they stand in, in turn
		Cores    int
		Speed    [2]float64    // of a core, drawn between the two; 1 does a microsecond of work in one
		Room     int           // requests that wait at a node
		ColdFrom float64       `toml:"cold_from"` // share of its speed with which one starts
		Ramp     time.Duration // and it has all of it after so long
		Overfull float64       // share more that a job costs where the room is full
		PutOff   float64       `toml:"put_off"`     // share of a write's work that is put off
		PutFor   time.Duration `toml:"put_off_for"` // and then done in one go
		Near     float64       // share of its work that a job costs where one for the same piece came within the second before
		Probe    time.Duration // work of a probe
		Connect  time.Duration // work of a new connection
		Conns    int           // connections at a time, 0 for no bound
	}
	Load struct {
		Busy     float64 // share of what all nodes can do
		Projects int
		Pieces   int     // of data that each project has, 0 for all of them different
		Limited  float64 // share of the projects that have a limit
		Limit    float64 // units a second
		Burst    float64 // units
		Mix      string  // what is asked for, in words; empty for the usual
		Recent   float64 // share of the reads that are of what was written within the two seconds before
		Comes    float64 // share of the clients that come back after a refusal
		Heeds    float64 // share of those that heed when
		Captured string  // file of what was asked for, in the place of one that is drawn
	}
	Happens  []Event
	Variants []struct { // of the settings, to be compared
		Name    string
		Tries   int           // attempts of a request
		Blind   bool          // no probes
		Advice  time.Duration // the longest that clients are told to stay away
		Without bool          // no advice when to come back
	}

	mix      Mix
	captured []captured
}

// Event is something that happens.
type Event struct {
	At       time.Duration
	What     string        // a key of needs
	Share    float64       // of the nodes, of the reads, of the attempts
	Hall     int           // cut: which one
	Over     time.Duration // replace: spread over so long
	Drain    time.Duration // replace: each node drains for so long before
	Back     time.Duration // die: they come back cold after so long
	For      time.Duration // how long it lasts
	Times    float64       // slow: speed is divided by it; surge, flood: of the usual rate; costly: of the usual work
	Projects int           // flood: so many of them
}

// needs are the fields that each kind of event must have.
var needs = map[string][]string{
	"replace": {"share", "over"},            // nodes drain, one after another, and successors start cold
	"die":     {"share", "back"},            // nodes die at once and come back cold
	"slow":    {"share", "for", "times"},    // nodes are slower
	"pause":   {"share", "for"},             // nodes do nothing, and go on where they stood
	"silence": {"share", "for"},             // nodes take what comes and answer nothing
	"cut":     {"for"},                      // so does a whole hall
	"break":   {"share", "for"},             // a share of all connections breaks under its request
	"spoil":   {"share", "for"},             // a share of all answers can't be used
	"deaf":    {"for"},                      // the first front hears nothing of the node list
	"surge":   {"for", "times"},             // there is more traffic
	"costly":  {"share", "for", "times"},    // a share of the requests of the first kind costs more
	"flood":   {"for", "times", "projects"}, // a few projects ask for more
}

// Load reads and checks a file. Its errors name the field.
func Load(path string) (Scenario, error) {
	var s Scenario
	meta, err := toml.DecodeFile(path, &s)
	if err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	if odd := meta.Undecoded(); len(odd) > 0 {
		return s, fmt.Errorf("%s: %s: unknown", path, odd[0])
	}
	if s.Load.Mix == "" {
		s.Load.Mix = usualMix
	}
	if s.mix, err = parseMix(s.Load.Mix); err != nil {
		return s, fmt.Errorf("%s: load.mix: %w", path, err)
	}
	if s.Load.Captured != "" {
		name := s.Load.Captured
		if !filepath.IsAbs(name) {
			name = filepath.Join(filepath.Dir(path), name)
		}
		if s.captured, err = readCaptured(name, s); err != nil {
			return s, fmt.Errorf("%s: load.captured: %w", path, err)
		}
	}
	if err := s.check(); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Bounds of a scenario, so that one ends in minutes on an ordinary machine.
const (
	mostLength = 10 * time.Minute
	mostFronts = 128
	mostNodes  = 1000
)

func (s *Scenario) check() error {
	bad := ""
	must := func(ok bool, format string, args ...any) {
		if !ok && bad == "" {
			bad = fmt.Sprintf(format, args...)
		}
	}
	share := func(x float64) bool { return x >= 0 && x <= 1 }
	n, l := s.Nodes, s.Load
	must(s.Name != "", "name: missing")
	must(s.Length >= 2*time.Second && s.Length <= mostLength, "length: must be 2s to %v", mostLength)
	must(s.Fronts > 0 && s.Fronts <= mostFronts, "fronts: must be 1 to %d", mostFronts)
	must(s.Told >= 0 && s.Told <= 10*time.Second, "told: must be 0s to 10s")
	must(n.Count > 0 && n.Count <= mostNodes, "nodes.count: must be 1 to %d", mostNodes)
	must(n.Halls >= 0 && n.Halls <= n.Count, "nodes.halls: must be 0 to the count")
	must(n.Cores > 0 && n.Room > 0, "nodes: cores and room must be above 0")
	must(n.Speed[0] > 0 && n.Speed[1] >= n.Speed[0], "nodes.speed: must be two numbers above 0, the lower one first")
	must(n.ColdFrom > 0 && n.ColdFrom <= 1, "nodes.cold_from: must be above 0 and at most 1")
	must(n.Ramp >= 0, "nodes.ramp: must not be below 0")
	must(n.Overfull >= 0 && n.Overfull <= 10, "nodes.overfull: must be 0 to 10")
	must(share(n.PutOff) && (n.PutOff == 0) == (n.PutFor <= 0), "nodes: put_off must be 0 to 1, with put_off_for")
	must(share(n.Near), "nodes.near: must be 0 to 1")
	must(n.Probe >= 0 && n.Connect >= 0 && n.Conns >= 0, "nodes: probe, connect and conns must not be below 0")
	must(l.Busy > 0 && l.Busy <= 5, "load.busy: must be above 0 and at most 5")
	must(l.Projects > 0 && l.Pieces >= 0, "load: projects must be above 0, pieces not below")
	must(share(l.Limited), "load.limited: must be 0 to 1")
	must(l.Limited == 0 || l.Limit > 0 && l.Burst >= float64(16*s.Fronts), "load: limit must be above 0, burst two largest requests for each front")
	must(share(l.Recent) && share(l.Comes) && share(l.Heeds), "load: recent, comes and heeds must be 0 to 1")
	for i, v := range s.Variants {
		must(v.Name != "" && v.Tries >= 0 && v.Advice >= 0, "variants[%d]: a name, and tries and advice not below 0", i)
	}
	for i, e := range s.Happens {
		must(e.At > 0 && e.At < s.Length, "happens[%d].at: must lie within the length", i)
		fields, known := needs[e.What]
		must(known, "happens[%d].what: %q is none of %s", i, e.What, strings.Join(kindsOfEvents(), ", "))
		must(e.Hall >= 0 && e.Hall < max(n.Halls, 1), "happens[%d].hall: must be 0 to below nodes.halls", i)
		given := map[string]bool{
			"share": e.Share > 0 && e.Share <= 1, "over": e.Over > 0, "back": e.Back > 0, "for": e.For > 0,
			"times": e.Times > 0, "projects": e.Projects > 0 && e.Projects <= l.Projects,
		}
		for _, f := range fields {
			must(given[f], "happens[%d].%s: missing, or out of its bounds", i, f)
		}
	}
	if bad != "" {
		return fmt.Errorf("%s", bad)
	}
	return nil
}

func kindsOfEvents() (names []string) {
	for name := range needs {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Calm is a calm evening of any size, as the file of that name has it.
func Calm(nodes, fronts int, length time.Duration) (s Scenario, err error) {
	s.Name, s.Length, s.Fronts, s.Told = "calm", length, fronts, 2*time.Second
	n := &s.Nodes
	n.Count, n.Cores, n.Speed, n.Room, n.ColdFrom, n.Ramp = nodes, 2, [2]float64{0.85, 1.7}, 24, 0.25, 15*time.Second
	s.Load.Busy, s.Load.Projects, s.Load.Mix = 0.6, 4*nodes, usualMix
	if s.mix, err = parseMix(usualMix); err != nil {
		return s, err
	}
	return s, s.check()
}
