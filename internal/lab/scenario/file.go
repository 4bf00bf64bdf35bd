// Package scenario simulates incidents. A TOML file describes nodes, fronts, load and the events that happen to them, and
// the real scheduler is run against it, in virtual time or on sockets. In virtual time the same seed gives the same result.
package scenario

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Scenario is the content of a scenario file.
type Scenario struct {
	Name   string
	Length time.Duration
	Fronts int
	Told   time.Duration // maximum delay with which a front receives a changed node list
	Nodes  struct {
		Count    int
		Halls    int // zones; the nodes are assigned to them round-robin
		Cores    int
		Speed    [2]float64    // range from which the speed of a node's cores is drawn; a core of speed 1 does 1 us of work per us
		Room     int           // maximum number of requests queued at a node
		ColdFrom float64       `toml:"cold_from"` // share of its speed that a node has at its start
		Ramp     time.Duration // time from its start until it has its full speed
		Overfull float64       // additional cost of a job, as a share, where the queue is full
		PutOff   float64       `toml:"put_off"`     // share of a write's work that is deferred
		PutFor   time.Duration `toml:"put_off_for"` // delay after which the deferred work is done in one piece
		Near     float64       // share of its work that a job costs if one for the same object came within the last second
		Probe    time.Duration // work of a health check
		Connect  time.Duration // work of a new connection
		Conns    int           // maximum number of open connections, 0 for no limit
	}
	Load struct {
		Busy     float64 // offered load as a share of the capacity of all nodes
		Projects int
		Pieces   int     // number of objects of each project, 0 if each request is for a different one
		Limited  float64 // share of the projects that have a limit
		Limit    float64 // units per second
		Burst    float64 // units
		Mix      string  // kinds of requests, in the grammar of Mix; empty for defaultMix
		Recent   float64 // share of the reads that are for an object written within the last 2 s
		Comes    float64 // share of the clients that retry after a rejection
		Heeds    float64 // share of those that wait for the advised retry time
		Captured string  // CSV file with a recorded load that replaces the random one
	}
	Happens  []Event
	Variants []struct { // of the scheduler's settings, to be compared
		Name    string
		Tries   int           // maximum number of attempts per request
		Blind   bool          // no health checks
		Advice  time.Duration // maximum retry time that clients are advised
		Without bool          // no retry time is advised
	}

	mix      Mix
	captured []capturedRequest
}

// Event is one incident of a scenario.
type Event struct {
	At       time.Duration
	What     string        // kind of event, a key of requiredFields
	Share    float64       // of the nodes, connections, answers or requests, depending on the kind of event
	Hall     int           // cut: the zone
	Over     time.Duration // replace: time over which the replacements are spread
	Drain    time.Duration // replace: time for which each node drains before
	Back     time.Duration // die: time until the nodes restart cold
	For      time.Duration // duration of the event
	Times    float64       // slow: divisor of the speed; surge, flood: multiple of the usual rate; costly: multiple of the usual work
	Projects int           // flood: number of projects
}

// requiredFields lists the required fields of each kind of event.
var requiredFields = map[string][]string{
	"replace": {"share", "over"},            // nodes drain one after another, and their replacements start cold
	"die":     {"share", "back"},            // nodes die at the same time and restart cold
	"slow":    {"share", "for", "times"},    // nodes run slower
	"pause":   {"share", "for"},             // nodes stall and then continue their work
	"silence": {"share", "for"},             // nodes accept requests and never answer
	"cut":     {"for"},                      // as silence, for all nodes of a zone
	"break":   {"share", "for"},             // a share of all connections breaks during its request
	"spoil":   {"share", "for"},             // a share of all answers is malformed
	"deaf":    {"for"},                      // the first front receives no node list
	"surge":   {"for", "times"},             // the rate of requests rises
	"costly":  {"share", "for", "times"},    // a share of the requests of the first kind takes more work
	"flood":   {"for", "times", "projects"}, // a few projects send additional requests
}

// Load reads and validates a scenario file. Its errors name the field.
func Load(path string) (Scenario, error) {
	var s Scenario
	meta, err := toml.DecodeFile(path, &s)
	if err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	if undecoded := meta.Undecoded(); len(undecoded) > 0 {
		return s, fmt.Errorf("%s: %s: unknown field", path, undecoded[0])
	}
	if s.Load.Mix == "" {
		s.Load.Mix = defaultMix
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
	if err := s.validate(); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Limits of a scenario, so that a run takes at most minutes on an ordinary machine.
const (
	maxLength = 10 * time.Minute
	maxFronts = 128
	maxNodes  = 1000
)

func (s *Scenario) validate() error {
	problem := ""
	require := func(ok bool, format string, args ...any) {
		if !ok && problem == "" {
			problem = fmt.Sprintf(format, args...)
		}
	}
	share := func(x float64) bool { return x >= 0 && x <= 1 }
	nodes, load := s.Nodes, s.Load
	require(s.Name != "", "name: missing")
	require(s.Length >= 2*time.Second && s.Length <= maxLength, "length: must be 2s to %v", maxLength)
	require(s.Fronts > 0 && s.Fronts <= maxFronts, "fronts: must be 1 to %d", maxFronts)
	require(s.Told >= 0 && s.Told <= 10*time.Second, "told: must be 0s to 10s")
	require(nodes.Count > 0 && nodes.Count <= maxNodes, "nodes.count: must be 1 to %d", maxNodes)
	require(nodes.Halls >= 0 && nodes.Halls <= nodes.Count, "nodes.halls: must be 0 to nodes.count")
	require(nodes.Cores > 0 && nodes.Room > 0, "nodes: cores and room must be above 0")
	require(nodes.Speed[0] > 0 && nodes.Speed[1] >= nodes.Speed[0], "nodes.speed: must be two numbers above 0, the lower one first")
	require(nodes.ColdFrom > 0 && nodes.ColdFrom <= 1, "nodes.cold_from: must be above 0 and at most 1")
	require(nodes.Ramp >= 0, "nodes.ramp: must not be below 0")
	require(nodes.Overfull >= 0 && nodes.Overfull <= 10, "nodes.overfull: must be 0 to 10")
	require(share(nodes.PutOff) && (nodes.PutOff == 0) == (nodes.PutFor <= 0),
		"nodes: put_off must be 0 to 1, and above 0 only together with put_off_for")
	require(share(nodes.Near), "nodes.near: must be 0 to 1")
	require(nodes.Probe >= 0 && nodes.Connect >= 0 && nodes.Conns >= 0, "nodes: probe, connect and conns must not be below 0")
	require(load.Busy > 0 && load.Busy <= 5, "load.busy: must be above 0 and at most 5")
	require(load.Projects > 0 && load.Pieces >= 0, "load: projects must be above 0, pieces must not be below 0")
	require(share(load.Limited), "load.limited: must be 0 to 1")
	require(load.Limited == 0 || load.Limit > 0 && load.Burst >= float64(16*s.Fronts),
		"load: limit must be above 0, burst at least two maximum-size requests per front")
	require(share(load.Recent) && share(load.Comes) && share(load.Heeds), "load: recent, comes and heeds must be 0 to 1")
	for i, v := range s.Variants {
		require(v.Name != "" && v.Tries >= 0 && v.Advice >= 0, "variants[%d]: name must not be empty, tries and advice must not be below 0", i)
	}
	for i, e := range s.Happens {
		require(e.At > 0 && e.At < s.Length, "happens[%d].at: must be above 0s and below length", i)
		fields, known := requiredFields[e.What]
		require(known, "happens[%d].what: unknown event %q, must be one of %s", i, e.What, strings.Join(eventKinds(), ", "))
		require(e.Hall >= 0 && e.Hall < max(nodes.Halls, 1), "happens[%d].hall: must be at least 0 and below nodes.halls", i)
		valid := map[string]bool{
			"share": e.Share > 0 && e.Share <= 1, "over": e.Over > 0, "back": e.Back > 0, "for": e.For > 0,
			"times": e.Times > 0, "projects": e.Projects > 0 && e.Projects <= load.Projects,
		}
		for _, f := range fields {
			require(valid[f], "happens[%d].%s: missing or out of range", i, f)
		}
	}
	if problem != "" {
		return fmt.Errorf("%s", problem)
	}
	return nil
}

func eventKinds() (names []string) {
	for name := range requiredFields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Calm returns a scenario of any size without incidents, as in the file calm.toml.
func Calm(nodes, fronts int, length time.Duration) (s Scenario, err error) {
	s.Name, s.Length, s.Fronts, s.Told = "calm", length, fronts, 2*time.Second
	n := &s.Nodes
	n.Count, n.Cores, n.Speed, n.Room, n.ColdFrom, n.Ramp = nodes, 2, [2]float64{0.85, 1.7}, 24, 0.25, 15*time.Second
	s.Load.Busy, s.Load.Projects, s.Load.Mix = 0.6, 4*nodes, defaultMix
	if s.mix, err = parseMix(defaultMix); err != nil {
		return s, err
	}
	return s, s.validate()
}
