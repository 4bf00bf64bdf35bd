package health

import (
	"errors"
	"fmt"
	"slices"

	"otterturn/scheduler"
)

// Figures of Defaults. Times are microseconds.
const (
	DefaultProbers       = 3
	DefaultQuorum        = 2
	DefaultSuspectAfter  = 50_000
	DefaultProbeLate     = 100_000
	DefaultEvidenceLife  = 6_000_000
	DefaultTakeoverAfter = 1_000_000
	DefaultProbesPerNode = 40
	DefaultMessageBytes  = 8192
)

// MaxEvidenceLife bounds Config.EvidenceLife: the age of an entry has 13 bits of milliseconds.
const MaxEvidenceLife scheduler.Micros = 8_000_000

// Defaults returns the usual figures for a front of a fleet whose fronts stand in the given zones.
func Defaults(self int, run int64, zones []int) Config {
	return Config{
		Self: self, Incarnation: run, Zones: zones,
		Probers: DefaultProbers, Quorum: DefaultQuorum,
		SuspectAfter: DefaultSuspectAfter, ProbeTimeout: DefaultProbeLate,
		EvidenceLifetime: DefaultEvidenceLife, TakeoverAfter: DefaultTakeoverAfter,
		ProbesPerNode: DefaultProbesPerNode, MessageRate: DefaultMessageBytes,
	}
}

// Validate names every field that can't be, by its name in an operator's file.
func (c Config) Validate() error {
	var wrong []error
	check := func(bad bool, format string, args ...any) {
		if bad {
			wrong = append(wrong, fmt.Errorf(format, args...))
		}
	}
	check(len(c.Zones) == 0, "zones: must not be empty")
	check(c.Self < 0 || c.Self >= len(c.Zones), "self: %d, but there are %d fronts", c.Self, len(c.Zones))
	for front, zone := range c.Zones {
		check(zone < 0, "zones: front %d has zone %d, below 0", front, zone)
	}
	check(c.Probers < 1, "probers: %d, must be 1 at least", c.Probers)
	check(c.Quorum < 2, "quorum: %d, must be 2 at least", c.Quorum)
	check(c.Quorum > c.Probers, "quorum: %d, but there are %d probers", c.Quorum, c.Probers)
	if zone, fronts := c.smallestZone(); fronts > 0 {
		check(c.Probers > fronts, "probers: %d, but zone %d has %d fronts", c.Probers, zone, fronts)
	}
	check(c.SuspectAfter <= 0, "suspect_after: must be above 0")
	check(c.ProbeTimeout <= 0, "probe_late: must be above 0")
	check(c.EvidenceLifetime <= 0, "evidence_life: must be above 0")
	check(c.EvidenceLifetime > MaxEvidenceLife, "evidence_life: %d ms, must be %d ms at most", c.EvidenceLifetime/1000, MaxEvidenceLife/1000)
	check(c.TakeoverAfter <= 0, "takeover_after: must be above 0")
	check(!(c.ProbesPerNode > 0), "probes_per_node: must be above 0")
	if c.Probers > 0 && c.ProbesPerNode > 0 && c.EvidenceLifetime > 0 {
		least := float64(c.probersOfAllZones()) / seconds(c.slowestProbe())
		check(c.ProbesPerNode < least, "probes_per_node: %g, but the %d probers of a node need %.3g for evidence to last",
			c.ProbesPerNode, c.probersOfAllZones(), least)
	}
	check(!(c.MessageRate >= MessageLimit), "message_bytes: must be %d at least", MessageLimit)
	return errors.Join(wrong...)
}

// smallestZone returns the zone with the fewest fronts, and their number: 0 where there is no front.
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

// zoneFronts returns the fronts of this front's zone in order, itself included.
func (c Config) zoneFronts() []int {
	var out []int
	for front, zone := range c.Zones {
		if zone == c.Zones[c.Self] {
			out = append(out, front)
		}
	}
	return out
}

// probersOfAllZones is how many fronts probe one node at most.
func (c Config) probersOfAllZones() int {
	zones := slices.Compact(slices.Sorted(slices.Values(c.Zones)))
	return len(zones) * c.Probers
}

// slowestProbe is the longest time between two probes of a node that a front is to watch: what it shows must come to all
// fronts before what the last one showed is too old.
func (c Config) slowestProbe() scheduler.Micros {
	return min(slowestProbe, c.EvidenceLifetime/repeatsPerLifetime)
}

// probePace is the time between two probes that ProbesPerNode leaves to each prober.
func (c Config) probePace() scheduler.Micros {
	return scheduler.Micros(float64(c.probersOfAllZones()) / c.ProbesPerNode * microsPerSecond)
}

const microsPerSecond = 1e6

func seconds(t scheduler.Micros) float64 { return float64(t) / microsPerSecond }
