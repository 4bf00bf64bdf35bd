package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"otterturn/scheduler/expirymap"
	"otterturn/scheduler/fifo"
	"otterturn/scheduler/retrybudget"
	"otterturn/scheduler/slowstart"
	"otterturn/scheduler/worklist"
)

// unboundedRetryWindow exceeds the time that any request waits.
const unboundedRetryWindow Micros = 1 << 50

// New returns a scheduler for one front. The seed drives all its random choices. The error names the invalid setting.
func New(settings Settings, seed int64) (*Scheduler, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	s := &Scheduler{
		rng: rand.New(rand.NewPCG(uint64(seed), 0)),
		nodeTable: nodeTable{
			nodesByName: map[string]*node{},
			work:        worklist.New[Micros, *node](fastInterval, slowInterval),
		},
		requestTable: requestTable{
			requests:  map[string]*request{},
			rejected:  expirymap.New[Request, *request](),
			keyQueues: fifo.New[Micros, *request](),
			shards:    map[int]*shard{},
			volumes:   expirymap.New[string, *volume](),
			flows:     expirymap.New[flowKey, *flow](),
		},
	}
	s.slowStart = slowstart.Config[Micros]{
		Fronts:           settings.Fronts,
		InitialShare:     cmp.Or(settings.InitialCapacity, 1),
		Ramp:             settings.SlowStart,
		OverloadMultiple: settings.OverloadMultiple,
		OverloadSpan:     settings.OverloadSpan,
		SafeUnits:        settings.SlowStartUnits,
		PeerMessages:     settings.PeerMessages,
	}
	s.configure(settings)
	s.placementPool = s.newNode()
	s.placementPool.Budget = maxBudgetRequests * settings.MeanUnits
	return s, nil
}

// configure applies settings. Each class keeps its own maximum number of attempts, so that an open request keeps the one
// that applied when it arrived.
func (s *Scheduler) configure(settings Settings) {
	settings.Classes = slices.Clone(settings.Classes)
	for i := range settings.Classes {
		c := &settings.Classes[i]
		c.maxAttempts = settings.MaxAttempts
		c.DedupWindow = c.retryWindow()
	}
	if s.retryBudgetChanges(settings) {
		s.retryBudget = retrybudget.New(settings.RetryBudgetSpan, settings.RetryBudgetMin, settings.RetryBudgetShare)
	}
	s.settings = settings
	s.minObjective = settings.Classes[0].LatencyObjective
	s.maxPriority = math.SmallestNonzeroFloat64
	for _, c := range settings.Classes {
		s.minObjective = min(s.minObjective, c.LatencyObjective)
		s.maxPriority = max(s.maxPriority, c.Priority)
	}
	s.slowStart.MeasurementDoubt = s.minObjective
}

// retryBudgetChanges reports whether the settings need a new retry budget.
func (s *Scheduler) retryBudgetChanges(settings Settings) bool {
	unconfigured := len(s.settings.Classes) == 0
	return unconfigured || settings.RetryBudgetSpan != s.settings.RetryBudgetSpan ||
		settings.RetryBudgetMin != s.settings.RetryBudgetMin || settings.RetryBudgetShare != s.settings.RetryBudgetShare
}

// retryWindow returns for how long after an attempt that may have run another one may start.
func (c *Class) retryWindow() Micros {
	switch c.Idempotency {
	case Idempotent:
		return unboundedRetryWindow
	case IdempotentByKey:
		return c.DedupWindow
	}
	return 0
}

// Reconfigure applies other classes, plans, attempts and request sizes, completely or not at all. Classes and plans keep
// their indexes; new ones are appended. Open requests keep their class as it was. Settings of other fronts, the clock and
// slow start keep their initial values.
func (s *Scheduler) Reconfigure(settings Settings) error {
	old := s.settings
	settings.Fronts, settings.FrontIndex, settings.PeerMessages = old.Fronts, old.FrontIndex, old.PeerMessages
	settings.Tick, settings.MaxOpen = old.Tick, old.MaxOpen
	settings.InitialCapacity, settings.SlowStart, settings.SlowStartUnits = old.InitialCapacity, old.SlowStart, old.SlowStartUnits
	settings.OverloadMultiple, settings.OverloadSpan = old.OverloadMultiple, old.OverloadSpan
	settings.Lease, settings.RecordLifetime = old.Lease, old.RecordLifetime
	if err := settings.validate(); err != nil {
		return err
	}
	if len(settings.Classes) < len(old.Classes) || len(settings.Plans) < len(old.Plans) {
		return fmt.Errorf("settings: %d classes and %d plans, but the present %d classes and %d plans must not be removed",
			len(settings.Classes), len(settings.Plans), len(old.Classes), len(old.Plans))
	}
	s.configure(settings)
	if s.suspendedPlans != nil {
		s.stopRefills()
	}
	s.relinkPlans()
	return nil
}
