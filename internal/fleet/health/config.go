package health

import (
	"errors"
	"fmt"
	"slices"

	"otterturn/scheduler"
)

// Values that Defaults returns. Times are in microseconds.
const (
	DefaultProbers          = 3
	DefaultQuorum           = 2
	DefaultSuspectAfter     = 50_000
	DefaultProbeTimeout     = 100_000
	DefaultEvidenceLifetime = 6_000_000
	DefaultTakeoverAfter    = 1_000_000
	DefaultProbesPerNode    = 40
	DefaultMessageRate      = 8192
)

// MaxEvidenceLifetime is the maximum of Config.EvidenceLifetime: the age of an entry is encoded in 13 bits of milliseconds.
const MaxEvidenceLifetime scheduler.Micros = 8_000_000

// Defaults returns the default configuration of front number self in a fleet with the given zone of each front.
func Defaults(self int, incarnation int64, zones []int) Config {
	return Config{
		Self: self, Incarnation: incarnation, Zones: zones,
		Probers: DefaultProbers, Quorum: DefaultQuorum,
		SuspectAfter: DefaultSuspectAfter, ProbeTimeout: DefaultProbeTimeout,
		EvidenceLifetime: DefaultEvidenceLifetime, TakeoverAfter: DefaultTakeoverAfter,
		ProbesPerNode: DefaultProbesPerNode, MessageRate: DefaultMessageRate,
	}
}

// Validate returns an error that names every invalid field, by its name in the operator's configuration file.
func (c Config) Validate() error {
	var problems []error
	check := func(bad bool, format string, args ...any) {
		if bad {
			problems = append(problems, fmt.Errorf(format, args...))
		}
	}
	check(len(c.Zones) == 0, "zones: must not be empty")
	check(c.Self < 0 || c.Self >= len(c.Zones), "self: %d, but there are %d fronts", c.Self, len(c.Zones))
	for front, zone := range c.Zones {
		check(zone < 0, "zones: front %d has zone %d, must be at least 0", front, zone)
	}
	check(c.Probers < 1, "probers: %d, must be at least 1", c.Probers)
	check(c.Quorum < 2, "quorum: %d, must be at least 2", c.Quorum)
	check(c.Quorum > c.Probers, "quorum: %d, but there are %d probers", c.Quorum, c.Probers)
	if zone, fronts := c.smallestZone(); fronts > 0 {
		check(c.Probers > fronts, "probers: %d, but zone %d has %d fronts", c.Probers, zone, fronts)
	}
	check(c.SuspectAfter <= 0, "suspect_after: must be above 0")
	check(c.ProbeTimeout <= 0, "probe_late: must be above 0")
	check(c.EvidenceLifetime <= 0, "evidence_life: must be above 0")
	check(c.EvidenceLifetime > MaxEvidenceLifetime, "evidence_life: %d ms, must be at most %d ms", c.EvidenceLifetime/1000, MaxEvidenceLifetime/1000)
	check(c.TakeoverAfter <= 0, "takeover_after: must be above 0")
	check(!(c.ProbesPerNode > 0), "probes_per_node: must be above 0")
	if c.Probers > 0 && c.ProbesPerNode > 0 && c.EvidenceLifetime > 0 {
		minRate := float64(c.probersOfAllZones()) / seconds(c.maxProbeInterval())
		check(c.ProbesPerNode < minRate, "probes_per_node: %g, but the %d probers of a node need at least %.3g to keep evidence fresh",
			c.ProbesPerNode, c.probersOfAllZones(), minRate)
	}
	check(!(c.MessageRate >= MaxMessageBytes), "message_bytes: must be at least %d", MaxMessageBytes)
	return errors.Join(problems...)
}

// smallestZone returns the zone with the fewest fronts and the number of its fronts, 0 if there are no fronts.
func (c Config) smallestZone() (zone, fronts int) {
	count := map[int]int{}
	for _, z := range c.Zones {
		count[z]++
	}
	for z, n := range count {
		if fronts == 0 || n < fronts || n == fronts && z < zone {
			zone, fronts = z, n
		}
	}
	return zone, fronts
}

// zoneFronts returns the fronts of this front's zone in ascending order, including this front.
func (c Config) zoneFronts() []int {
	var out []int
	for front, zone := range c.Zones {
		if zone == c.Zones[c.Self] {
			out = append(out, front)
		}
	}
	return out
}

// probersOfAllZones returns the maximum number of fronts that probe one node.
func (c Config) probersOfAllZones() int {
	zones := slices.Compact(slices.Sorted(slices.Values(c.Zones)))
	return len(zones) * c.Probers
}

// maxProbeInterval returns the maximum time between two probes of a node by one of its probers: the result of a probe must reach
// all fronts before the result of the last one expires.
func (c Config) maxProbeInterval() scheduler.Micros {
	return min(maxProbeInterval, c.EvidenceLifetime/repeatsPerLifetime)
}

// intervalPerProber returns the time between two probes of one prober that keeps the total rate of all probers at ProbesPerNode.
func (c Config) intervalPerProber() scheduler.Micros {
	return scheduler.Micros(float64(c.probersOfAllZones()) / c.ProbesPerNode * microsPerSecond)
}

const microsPerSecond = 1e6

func seconds(t scheduler.Micros) float64 { return float64(t) / microsPerSecond }
