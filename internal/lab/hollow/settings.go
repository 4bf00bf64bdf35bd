// Package hollow simulates large fleets: a thousand fronts and more in one process, each with the real scheduler, message
// codec, discovery backoff and, if switched on, shared node health. There are no sockets, nodes and discovery are models, and
// time is virtual.
//
// It is a conservative parallel simulation. Time advances in windows of one tick, which is no longer than the minimum
// delay of the network, so a message sent in one window arrives in a later one. Within a window each actor (front, node,
// discovery) handles its messages in the order of arrival time, sender and the sender's sequence number. Therefore the
// same seed gives the same digest with any number of workers.
//
// Simplifications: a client sends a request once and does not retry after a rejection; an attempt at a silent node has no
// result until its request's deadline, even on a new connection; connections are counted and never expire.
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

	startTime = 1_800_000_000 * second // start of virtual time
	tick      = 2 * millisecond        // interval of a front's steps, and length of the simulation's windows
)

// Settings are the settings of a simulated fleet.
type Settings struct {
	Fronts, Nodes  int
	Zones, Regions int
	RequestRate    float64          // requests per second at each front
	Health         bool             // internal/fleet/health is switched on
	SuspectAfter   scheduler.Micros // see health.Config, 0 for its default
	Seed           uint64
	Workers        int              // goroutines, 0 for GOMAXPROCS
	DiscoveryLines float64          // lines that discovery can answer per second
	WarmUp         scheduler.Micros // how long the fleet serves before an event
}

// DefaultSettings returns the settings of a fleet with the given number of fronts, with as many nodes per front and requests per
// second as at full size.
func DefaultSettings(fronts int) Settings {
	return Settings{
		Fronts: fronts, Nodes: fronts * FullNodes / FullFronts, Zones: 10, Regions: 2, RequestRate: FullRate,
		Seed: 1, DiscoveryLines: 9_000, WarmUp: 3 * second,
	}
}

// The size of the fleet that the program is designed for.
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
		{s.RequestRate < 0, "Rate must not be below 0"},
		{s.DiscoveryLines <= 0, "DiscoveryLines must be above 0"},
		{s.Workers < 0, "Workers must not be below 0"},
	} {
		if c.bad {
			return errors.New("hollow: " + c.what)
		}
	}
	return nil
}

// The work of requests. At 472 requests per second a node of 8 cores is at three fifths of its capacity, and usually
// answers in 5 to 20 ms.
const (
	workPerUnit      = 5_000.0             // microseconds of a core per unit
	meanUnits        = 2                   // mean of a request
	maxUnits         = 3                   // of a request; the minimum is 1
	latencyObjective = 300 * millisecond   // of the only class
	clientTimeout    = 2_500 * millisecond // time after which a client gives up
	volumesPerFront  = 64
)

// schedulerSettings returns the settings of a front's scheduler.
func (s *Settings) schedulerSettings(number int) scheduler.Settings {
	return scheduler.Settings{
		Fronts: s.Fronts, FrontIndex: number, PeerMessages: true, Tick: tick, MeanUnits: meanUnits, MaxUnits: maxUnits,
		MaxAttempts: 4, HealthChecks: true, RetryAfter: true, MaxRetryAfter: second / 2,
		InitialCapacity: 0.2, SlowStart: 17 * second, OverloadMultiple: 2.5, OverloadSpan: second, SlowStartUnits: 1,
		RetryBudgetSpan: 10 * second, RetryBudgetMin: 20, RetryBudgetShare: 0.1,
		Classes: []scheduler.Class{{LatencyObjective: latencyObjective, Idempotency: scheduler.Idempotent, Priority: 1}},
		Plans:   []scheduler.Plan{{Weight: 1}},
	}
}

// nodeParameters returns the parameters of the model of a node.
func (s *Settings) nodeParameters() model.Parameters {
	set := s.schedulerSettings(0)
	return model.Parameters{
		Cores: 8, Speed: 1, Room: 200, ColdFrom: set.InitialCapacity, Ramp: int64(set.SlowStart),
		OverloadMultiple: set.OverloadMultiple, OverloadSpan: int64(set.OverloadSpan), OverloadFreeWork: set.SlowStartUnits * workPerUnit, MaxRemembered: 1,
	}
}

// limits returns the limits of a front on a platform where all fronts call the same discovery.
func (s *Settings) limits() limits.Limits {
	return limits.New(limits.Site{
		MemoryMB: 256, Sockets: 8192, NodeIdleTimeout: 15 * time.Second, Connect: 250 * time.Millisecond,
		MaxDeadline: 2500 * time.Millisecond, DiscoveryFronts: s.Fronts,
	})
}

func micros(d time.Duration) scheduler.Micros { return scheduler.Micros(d / time.Microsecond) }

// nodeName returns a name about as long as real host names with zone and region.
func nodeName(i, zone, region int) string {
	return fmt.Sprintf("storage-%04d.zone-%02d.region-%d", i, zone, region)
}
