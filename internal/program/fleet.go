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

// maxEvidenceLife is the maximum lifetime of evidence.
const maxEvidenceLife = time.Duration(health.MaxEvidenceLifetime) * time.Microsecond

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
func loadFleet(path string, front frontConfig) (Fleet, error) {
	var fleet Fleet
	meta, err := toml.DecodeFile(path, &fleet)
	if err != nil {
		var pathErr *os.PathError
		if errors.As(err, &pathErr) {
			return Fleet{}, fmt.Errorf("%s: %w", fleetVariable, err)
		}
		return Fleet{}, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return Fleet{}, fmt.Errorf("%s: %s: unknown", path, unknown[0])
	}
	if !fleet.Health.Enabled {
		return fleet, nil
	}
	if _, err := fleet.healthConfig(front, 0); err != nil {
		return Fleet{}, fmt.Errorf("%s: %w", path, err)
	}
	return fleet, nil
}

// healthConfig returns the monitor's configuration. startedAt, the start of the process in Unix microseconds, becomes the
// incarnation.
func (f *Fleet) healthConfig(front frontConfig, startedAt int64) (health.Config, error) {
	switch {
	case !front.peers:
		return health.Config{}, errors.New("health.enabled: the configuration names no peers")
	case !front.probing:
		return health.Config{}, errors.New("health.enabled: settings.ceilings.probing is off in the configuration")
	}
	if err := f.Health.validate(); err != nil {
		return health.Config{}, err
	}
	zonesByFront, err := f.zonesByFront(front.fronts)
	if err != nil {
		return health.Config{}, err
	}
	h := f.Health
	c := health.Config{
		Self: front.self, Incarnation: startedAt, Zones: zonesByFront, Probers: h.Probers, Quorum: h.Quorum,
		SuspectAfter: toMicros(h.SuspectAfter), ProbeTimeout: toMicros(h.ProbeLate), EvidenceLifetime: toMicros(h.EvidenceLife),
		TakeoverAfter: toMicros(h.TakeoverAfter), ProbesPerNode: h.ProbesPerNode, MessageRate: h.MessageBytes,
	}
	if err := c.Validate(); err != nil {
		return health.Config{}, fmt.Errorf("health: %w", err)
	}
	return c, nil
}

// validate checks each setting without regard to the zones.
func (h *FleetHealth) validate() error {
	switch {
	case h.Probers < 1:
		return fmt.Errorf("health.probers: %d, must be at least 1", h.Probers)
	case h.Quorum < 2 || h.Quorum > h.Probers:
		return fmt.Errorf("health.quorum: %d, must be at least 2 and at most health.probers, %d", h.Quorum, h.Probers)
	case !(h.ProbesPerNode > 0):
		return errors.New("health.probes_per_node: must be above 0")
	case !(h.MessageBytes >= health.MaxMessageBytes):
		return fmt.Errorf("health.message_bytes: must be at least %d, for one message per second", health.MaxMessageBytes)
	case h.EvidenceLife > maxEvidenceLife:
		return fmt.Errorf("health.evidence_life: %v, must be at most %v", h.EvidenceLife, maxEvidenceLife)
	}
	for _, duration := range []struct {
		field string
		value time.Duration
	}{{"suspect_after", h.SuspectAfter}, {"probe_late", h.ProbeLate}, {"evidence_life", h.EvidenceLife}, {"takeover_after", h.TakeoverAfter}} {
		if duration.value < time.Microsecond {
			return fmt.Errorf("health.%s: must be a duration above 0", duration.field)
		}
	}
	return nil
}

// zonesByFront returns each front's zone, indexed by the front's number. Every front must be in exactly one zone.
func (f *Fleet) zonesByFront(fronts int) ([]int, error) {
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
		for _, frontRange := range z.Fronts {
			first, last, err := parseFrontRange(frontRange, fronts)
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

// parseFrontRange parses a front's number or a range of numbers below fronts.
func parseFrontRange(text string, fronts int) (first, last int, err error) {
	from, to, isRange := strings.Cut(text, "-")
	if !isRange {
		to = from
	}
	first, err = strconv.Atoi(from)
	if err == nil {
		last, err = strconv.Atoi(to)
	}
	switch {
	case err != nil:
		return 0, 0, fmt.Errorf("%q is not a number or a range such as \"0-119\"", text)
	case first > last:
		return 0, 0, fmt.Errorf("%q ends before it begins", text)
	case last >= fronts:
		return 0, 0, fmt.Errorf("%q is out of range: settings.balancers is %d, front numbers start at 0", text, fronts)
	}
	return first, last, nil
}

func toMicros(d time.Duration) scheduler.Micros { return scheduler.Micros(d / time.Microsecond) }
