package protocol

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"otterturn/scheduler"
)

// settings has the keys of the settings object that the program uses.
type settings struct {
	Balancers    int
	SlotNo       int
	TickUs       int64
	RegistryMode string
	Ceilings     struct {
		Peers            bool
		ConnIdleUs       int64
		ConnectTimeoutUs int64
		MaxOpen          int
		TryLimit         int
		Probing          bool
		Cancel           bool
		RetryAfter       bool
		MaxRetryAfterUs  int64
	}
	Classes    []class
	Contracts  []contract
	FamilyInfo struct {
		ColdUnits, MeanUnits, MostUnits float64
		SaysOthers                      bool
		Shards                          int
		ClassWrites                     []bool
	}
	Report struct {
		How    string
		Fields []string
	}
	Zones  []string
	Safety struct {
		BudgetShare   float64
		BudgetSpanUs  int64
		ColdFrom      float64
		FallMultiple  float64
		FallUs        int64
		RampTimeUs    int64
		DrainGraceUs  int64
		SpareAttempts float64
		KeyRestUs     int64
	}
}

type class struct {
	Name      string
	AimUs     int64
	GiveUpUs  int64
	Semantics string
	Group     string
	WindowUs  *int64 // nil for none
	ByArrival bool
	Credit    float64
}

type contract struct {
	Name                                              string
	CeilingRate, FloorRate, LimitBurst, Shares, Slack float64
}

var (
	idempotencies = map[string]scheduler.Idempotency{
		"retryable": scheduler.Idempotent, "dedup": scheduler.IdempotentByKey, "fragile": scheduler.NotIdempotent,
	}
	dedupScopes = map[string]scheduler.DedupScope{
		"": scheduler.AllNodes, "all": scheduler.AllNodes, "zone": scheduler.SameZone,
		"cell": scheduler.SameShard,
	}
)

// registryOnRequest is the mode of discovery in which fronts get changes only on request.
const registryOnRequest = "on_request"

// queueFields are the possible names of the field of a load report that has the number of queued requests.
var queueFields = map[string]bool{"queue": true, "backlog": true}

// Settings are the settings of a deployment: those of the scheduler and those of the connections.
type Settings struct {
	Scheduler       scheduler.Settings
	Classes         []string        // by the scheduler's index; "" for a class that is no longer configured
	ClassNames      []string        // the same, with the names of classes that are no longer configured
	PlanNames       []string        // the same for plans
	MaxWaits        []time.Duration // by class, the longest time that its clients wait
	Writes          []bool          // by class, whether its requests write; empty if unknown
	Plans           []string
	Zones           []string
	Shards          int           // number of shards; their indexes start at 0
	LoadReports     bool          // probes are answered with a load report
	LoadQueue       string        // field of the load report with the number of queued requests, "" if there is none
	MaxOpen         int           // maximum number of open requests, 0 for no limit
	DiscoveryFronts int           // number of fronts that share one discovery and have to ask it; 0 if changes are pushed to an agent
	NodeIdleTimeout time.Duration // time after which a node closes an idle connection
	Connect         time.Duration // timeout for connecting to a node
	MaxDeadline     time.Duration // the longest time that a client of any class waits
	DrainGrace      time.Duration // time within which a drain must take effect after its announcement, 0 if unknown
	MaxRetryAfter   time.Duration // longest Retry-After that clients respect
}

// ParseSettings parses a settings object. Unknown keys are ignored. The settings of the connections may be missing.
func ParseSettings(text []byte) (Settings, error) {
	var in settings
	if err := json.Unmarshal(text, &in); err != nil {
		return Settings{}, err
	}
	return in.decode()
}

func (in *settings) decode() (Settings, error) {
	f, s := in.FamilyInfo, in.Safety
	set := scheduler.Settings{
		Fronts: in.Balancers, FrontIndex: in.SlotNo, PeerMessages: in.Ceilings.Peers, Tick: scheduler.Micros(in.TickUs),
		MeanUnits: f.MeanUnits, MaxUnits: f.MostUnits, ServedElsewhereReported: f.SaysOthers,
		MaxAttempts: in.Ceilings.TryLimit, HealthChecks: in.Ceilings.Probing,
		CancelAttempts: in.Ceilings.Cancel, RetryAfter: in.Ceilings.RetryAfter,
		MaxRetryAfter:   scheduler.Micros(in.Ceilings.MaxRetryAfterUs),
		InitialCapacity: s.ColdFrom, SlowStart: scheduler.Micros(s.RampTimeUs),
		OverloadMultiple: s.FallMultiple, OverloadSpan: scheduler.Micros(s.FallUs), SlowStartUnits: f.ColdUnits,
		KeyPause: scheduler.Micros(s.KeyRestUs), RetryBudgetSpan: scheduler.Micros(s.BudgetSpanUs),
		RetryBudgetMin: s.SpareAttempts, RetryBudgetShare: s.BudgetShare,
	}
	out := Settings{
		Zones: in.Zones, Writes: in.FamilyInfo.ClassWrites, LoadReports: in.Report.How != "" && in.Report.How != "off",
		Shards: in.FamilyInfo.Shards, MaxOpen: in.Ceilings.MaxOpen, NodeIdleTimeout: micros(in.Ceilings.ConnIdleUs),
		Connect: micros(in.Ceilings.ConnectTimeoutUs), MaxRetryAfter: micros(in.Ceilings.MaxRetryAfterUs), DrainGrace: micros(s.DrainGraceUs),
	}
	if in.RegistryMode == registryOnRequest {
		out.DiscoveryFronts = in.Balancers
	}
	for _, field := range in.Report.Fields {
		if queueFields[field] {
			out.LoadQueue = field
		}
	}
	for i, c := range in.Classes {
		idempotency, ok := idempotencies[c.Semantics]
		scope, known := dedupScopes[c.Group]
		if !ok || !known {
			return Settings{}, fmt.Errorf("classes[%d]: unknown semantics %q or group %q", i, c.Semantics, c.Group)
		}
		window := scheduler.Micros(0)
		if c.WindowUs != nil {
			window = scheduler.Micros(*c.WindowUs)
		}
		out.Classes, out.MaxWaits = append(out.Classes, c.Name), append(out.MaxWaits, micros(c.GiveUpUs))
		out.MaxDeadline = max(out.MaxDeadline, micros(c.GiveUpUs))
		set.Classes = append(set.Classes, scheduler.Class{
			LatencyObjective: scheduler.Micros(c.AimUs), Idempotency: idempotency, DedupScope: scope,
			DedupWindow: window, InOrder: c.ByArrival, Priority: c.Credit,
		})
	}
	for _, p := range in.Contracts {
		out.Plans = append(out.Plans, p.Name)
		set.Plans = append(set.Plans, scheduler.Plan{
			Reservation: p.FloorRate, Weight: p.Shares,
			Limit: p.CeilingRate, Burst: p.LimitBurst, Slack: p.Slack,
		})
	}
	out.Scheduler, out.ClassNames, out.PlanNames = set, out.Classes, out.Plans
	return out, nil
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// FormatSettings returns the scheduler's settings in the form that ParseSettings reads. Classes and plans are named by their indexes.
func FormatSettings(set scheduler.Settings) any {
	var out settings
	out.Balancers, out.SlotNo, out.TickUs = set.Fronts, set.FrontIndex, int64(set.Tick)
	c := &out.Ceilings
	c.Peers = set.PeerMessages
	c.TryLimit, c.Probing, c.Cancel, c.RetryAfter, c.MaxRetryAfterUs = set.MaxAttempts, set.HealthChecks, set.CancelAttempts,
		set.RetryAfter, int64(set.MaxRetryAfter)
	f := &out.FamilyInfo
	f.ColdUnits, f.MeanUnits, f.MostUnits, f.SaysOthers = set.SlowStartUnits, set.MeanUnits, set.MaxUnits, set.ServedElsewhereReported
	s := &out.Safety
	s.BudgetShare, s.BudgetSpanUs, s.ColdFrom, s.FallMultiple = set.RetryBudgetShare, int64(set.RetryBudgetSpan), set.InitialCapacity, set.OverloadMultiple
	s.FallUs, s.RampTimeUs, s.SpareAttempts, s.KeyRestUs = int64(set.OverloadSpan), int64(set.SlowStart), set.RetryBudgetMin, int64(set.KeyPause)
	for i, c := range set.Classes {
		in := class{Name: strconv.Itoa(i), AimUs: int64(c.LatencyObjective), ByArrival: c.InOrder, Credit: c.Priority}
		if c.DedupWindow > 0 {
			in.WindowUs = new(int64)
			*in.WindowUs = int64(c.DedupWindow)
		}
		for name, idempotency := range idempotencies {
			if idempotency == c.Idempotency {
				in.Semantics = name
			}
		}
		for name, scope := range dedupScopes {
			if scope == c.DedupScope && name != "" {
				in.Group = name
			}
		}
		out.Classes = append(out.Classes, in)
	}
	for i, p := range set.Plans {
		out.Contracts = append(out.Contracts, contract{strconv.Itoa(i), p.Limit, p.Reservation, p.Burst, p.Weight, p.Slack})
	}
	return out
}
