package program

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"otterturn/internal/fleet/health"
	"otterturn/scheduler"
)

// fleetVariable is the environment variable with the path of the fleet file. Without it a front shares no node health.
const fleetVariable = "RELAY_FLEET"

// longestEvidence is the maximum lifetime of evidence.
const longestEvidence = time.Duration(health.MaxEvidenceLife) * time.Microsecond

// Fleet is the operators' fleet file: the settings of features that the fronts of a fleet share.
type Fleet struct {
	Health FleetHealth
	Zones  []FleetZone
}

// FleetHealth configures the node health that the fronts of a zone share, see health.Config.
type FleetHealth struct {
	Enabled       bool
	Probers       int
	Quorum        int
	SuspectAfter  time.Duration `toml:"suspect_after"`
	ProbeLate     time.Duration `toml:"probe_late"`
	EvidenceLife  time.Duration `toml:"evidence_life"`
	TakeoverAfter time.Duration `toml:"takeover_after"`
	ProbesPerNode float64       `toml:"probes_per_node"`
	MessageBytes  float64       `toml:"message_bytes"`
}

// FleetZone is a zone of fronts. Fronts lists their numbers, as single numbers or as ranges such as "0-119".
type FleetZone struct {
	Name   string
	Region string
	Fronts []string
}

// frontConfig is the part of this front's configuration that the fleet file must be consistent with.
type frontConfig struct {
	self, fronts int  // the number of this front, and the number of fronts
	peers        bool // the configuration has addresses for messages between fronts
	probing      bool // health checks of nodes are enabled
}

// loadFleet reads and validates the fleet file. Its errors name the field.
func loadFleet(path string, s frontConfig) (Fleet, error) {
	var f Fleet
	meta, err := toml.DecodeFile(path, &f)
	if err != nil {
		var at *os.PathError
		if errors.As(err, &at) {
			return Fleet{}, fmt.Errorf("%s: %w", fleetVariable, err)
		}
		return Fleet{}, fmt.Errorf("%s: %w", path, err)
	}
	if odd := meta.Undecoded(); len(odd) > 0 {
		return Fleet{}, fmt.Errorf("%s: %s: unknown", path, odd[0])
	}
	if !f.Health.Enabled {
		return f, nil
	}
	if _, err := f.config(s, 0); err != nil {
		return Fleet{}, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// config returns the monitor's configuration. began, the start of the process in Unix microseconds, is its incarnation.
func (f *Fleet) config(s frontConfig, began int64) (health.Config, error) {
	switch {
	case !s.peers:
		return health.Config{}, errors.New("health.enabled: the configuration names no peers")
	case !s.probing:
		return health.Config{}, errors.New("health.enabled: settings.ceilings.probing is off in the configuration")
	}
	if err := f.Health.check(); err != nil {
		return health.Config{}, err
	}
	zones, err := f.zones(s.fronts)
	if err != nil {
		return health.Config{}, err
	}
	h := f.Health
	c := health.Config{
		Self: s.self, Incarnation: began, Zones: zones, Probers: h.Probers, Quorum: h.Quorum,
		SuspectAfter: inMicros(h.SuspectAfter), ProbeTimeout: inMicros(h.ProbeLate), EvidenceLifetime: inMicros(h.EvidenceLife),
		TakeoverAfter: inMicros(h.TakeoverAfter), ProbesPerNode: h.ProbesPerNode, MessageRate: h.MessageBytes,
	}
	if err := c.Validate(); err != nil {
		return health.Config{}, fmt.Errorf("health: %w", err)
	}
	return c, nil
}

// check validates each setting without regard to the zones.
func (h *FleetHealth) check() error {
	switch {
	case h.Probers < 1:
		return fmt.Errorf("health.probers: %d, must be at least 1", h.Probers)
	case h.Quorum < 2 || h.Quorum > h.Probers:
		return fmt.Errorf("health.quorum: %d, must be at least 2 and at most health.probers, %d", h.Quorum, h.Probers)
	case !(h.ProbesPerNode > 0):
		return errors.New("health.probes_per_node: must be above 0")
	case !(h.MessageBytes >= health.MessageLimit):
		return fmt.Errorf("health.message_bytes: must be at least %d, for one message per second", health.MessageLimit)
	case h.EvidenceLife > longestEvidence:
		return fmt.Errorf("health.evidence_life: %v, must be at most %v", h.EvidenceLife, longestEvidence)
	}
	for _, t := range []struct {
		field string
		value time.Duration
	}{{"suspect_after", h.SuspectAfter}, {"probe_late", h.ProbeLate}, {"evidence_life", h.EvidenceLife}, {"takeover_after", h.TakeoverAfter}} {
		if t.value < time.Microsecond {
			return fmt.Errorf("health.%s: must be a duration above 0", t.field)
		}
	}
	return nil
}

// zones returns each front's zone, indexed by the front's number. Every front must be in exactly one zone.
func (f *Fleet) zones(fronts int) ([]int, error) {
	if len(f.Zones) == 0 {
		return nil, errors.New("zones: missing")
	}
	const none = -1
	out := make([]int, fronts)
	for i := range out {
		out[i] = none
	}
	names, members := map[string]bool{}, make([]int, len(f.Zones))
	for i, z := range f.Zones {
		if z.Name == "" || names[z.Name] {
			return nil, fmt.Errorf("zones[%d].name: missing or used before", i)
		}
		names[z.Name] = true
		for _, text := range z.Fronts {
			first, last, err := parseFronts(text, fronts)
			if err != nil {
				return nil, fmt.Errorf("zones[%d].fronts: %w", i, err)
			}
			for n := first; n <= last; n++ {
				if out[n] != none {
					return nil, fmt.Errorf("zones[%d].fronts: front %d is in zone %q already", i, n, f.Zones[out[n]].Name)
				}
				out[n] = i
			}
			members[i] += last - first + 1
		}
	}
	for n, zone := range out {
		if zone == none {
			return nil, fmt.Errorf("zones: front %d is in none", n)
		}
	}
	for i, n := range members {
		if f.Health.Probers > n {
			return nil, fmt.Errorf("health.probers: %d, but zones[%d] has %d fronts", f.Health.Probers, i, n)
		}
	}
	return out, nil
}

// parseFronts reads a front's number or a range of numbers below fronts.
func parseFronts(text string, fronts int) (first, last int, err error) {
	from, to, ranged := strings.Cut(text, "-")
	if !ranged {
		to = from
	}
	first, err = strconv.Atoi(from)
	if err == nil {
		last, err = strconv.Atoi(to)
	}
	switch {
	case err != nil:
		return 0, 0, fmt.Errorf("%q is no number and no range such as \"0-119\"", text)
	case first > last:
		return 0, 0, fmt.Errorf("%q ends before it begins", text)
	case last >= fronts:
		return 0, 0, fmt.Errorf("%q is out of range: settings.balancers is %d, front numbers start at 0", text, fronts)
	}
	return first, last, nil
}

func inMicros(d time.Duration) scheduler.Micros { return scheduler.Micros(d / time.Microsecond) }
