// Package hollow is the laboratory of large fleets: a thousand fronts and more in one process, each with the real
// scheduler, message codec, backoff of discovery and, where it is switched on, health of nodes. Sockets are left out, nodes
// and discovery are models, and time is virtual.
//
// It is a conservative parallel simulation. Time advances in windows of one tick, which is no longer than the least
// delay of the network, so what is sent in a window arrives in a later one. Within a window each actor (front, node,
// discovery) handles what has arrived in the order of time, sender and the sender's sequence number. So the same seed has
// the same digest, whatever the number of workers.
//
// Simplified: a client asks once and does not come again after a refusal; an attempt at a silent node stays without an
// answer until its request's deadline, also on a connection that is new; connections are counted and never expire.
package hollow

import (
	"errors"
	"fmt"
	"runtime"
	"time"

	"otterturn/internal/lab/model"
	"otterturn/internal/limits"
	"otterturn/scheduler"
)

const (
	millisecond = scheduler.Micros(1_000)
	second      = 1_000 * millisecond

	begin = 1_800_000_000 * second // virtual time begins here
	tick  = 2 * millisecond        // a front's steps, and the windows of the simulation
)

// Settings of a fleet.
type Settings struct {
	Fronts, Nodes  int
	Zones, Regions int
	Rate           float64          // requests a second at each front
	Health         bool             // internal/fleet/health is switched on
	SuspectAfter   scheduler.Micros // of health.Config, 0 for its default
	Seed           uint64
	Workers        int              // goroutines, 0 for one a processor
	DiscoveryLines float64          // that discovery answers a second
	Warm           scheduler.Micros // the fleet serves for so long ahead of an event
}

// Default returns the settings of a fleet of so many fronts, at the proportions of the size that decides the design.
func Default(fronts int) Settings {
	return Settings{
		Fronts: fronts, Nodes: fronts * FullNodes / FullFronts, Zones: 10, Regions: 2, Rate: FullRate,
		Seed: 1, DiscoveryLines: 9_000, Warm: 3 * second,
	}
}

// The size that decides the design.
const (
	FullFronts = 1_200
	FullNodes  = 1_800
	FullRate   = 708.0
)

func (s *Settings) validate() error {
	if s.Workers == 0 {
		s.Workers = runtime.GOMAXPROCS(0)
	}
	for _, c := range []struct {
		bad  bool
		what string
	}{
		{s.Fronts < 1, "Fronts must be above 0"},
		{s.Nodes < 1, "Nodes must be above 0"},
		{s.Regions < 1, "Regions must be above 0"},
		{s.Zones < s.Regions, "Zones must not be below Regions"},
		{s.Rate < 0, "Rate must not be below 0"},
		{s.DiscoveryLines <= 0, "DiscoveryLines must be above 0"},
		{s.Workers < 0, "Workers must not be below 0"},
	} {
		if c.bad {
			return errors.New("hollow: " + c.what)
		}
	}
	return nil
}

// The work that clients ask for. A node of 8 cores at 472 requests a second is busy for three fifths of its time, and
// usually answers in 5 to 20 ms.
const (
	unitWork  = 5_000.0 // microseconds of a core for a unit
	meanUnits = 2       // of a request
	mostUnits = 3       // of a request, which has 1 at least
	aim       = 300 * millisecond
	patience  = 2_500 * millisecond // of a client
	volumes   = 64                  // of each front
)

// rules are the settings of a front's scheduler.
func (s *Settings) rules(number int) scheduler.Settings {
	return scheduler.Settings{
		Fronts: s.Fronts, FrontIndex: number, PeerMessages: true, Tick: tick, MeanUnits: meanUnits, MaxUnits: mostUnits,
		MaxAttempts: 4, HealthChecks: true, RetryAfter: true, MaxRetryAfter: second / 2,
		InitialCapacity: 0.2, SlowStart: 17 * second, OverloadMultiple: 2.5, OverloadSpan: second, SlowStartUnits: 1,
		RetryBudgetSpan: 10 * second, RetryBudgetMin: 20, RetryBudgetShare: 0.1,
		Classes: []scheduler.Class{{LatencyObjective: aim, Idempotency: scheduler.Idempotent, Priority: 1}},
		Plans:   []scheduler.Plan{{Weight: 1}},
	}
}

// figures are those of a node.
func (s *Settings) figures() model.Figures {
	set := s.rules(0)
	return model.Figures{
		Cores: 8, Speed: 1, Room: 200, ColdFrom: set.InitialCapacity, Ramp: int64(set.SlowStart),
		FallTimes: set.OverloadMultiple, FallSpan: int64(set.OverloadSpan), FallFree: set.SlowStartUnits * unitWork, MostMemory: 1,
	}
}

// limits are those of a front of the platform whose discovery all fronts ask.
func (s *Settings) limits() limits.Limits {
	return limits.For(limits.Site{
		MemoryMB: 256, Sockets: 8192, ConnIdle: 15 * time.Second, Connect: 250 * time.Millisecond,
		Deadline: 2500 * time.Millisecond, Askers: s.Fronts,
	})
}

func micros(d time.Duration) scheduler.Micros { return scheduler.Micros(d / time.Microsecond) }

// nodeName is about as long as names of machines are, with their zone and region.
func nodeName(i, zone, region int) string {
	return fmt.Sprintf("storage-%04d.zone-%02d.region-%d", i, zone, region)
}
