package protocol

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"otterturn/scheduler"
)

// settings mirrors the keys of the settings object that the program has a use for.
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
	repeats = map[string]scheduler.Idempotency{"retryable": scheduler.Idempotent, "dedup": scheduler.IdempotentByKey, "fragile": scheduler.NotIdempotent}
	groups  = map[string]scheduler.DedupScope{
		"": scheduler.AllNodes, "all": scheduler.AllNodes, "zone": scheduler.SameZone,
		"cell": scheduler.SameShard,
	}
)

// registryAsked is the mode in which fronts hear only what they ask for.
const registryAsked = "on_request"

// queueFields are the names under which a load report may tell the requests waiting.
var queueFields = map[string]bool{"queue": true, "backlog": true}

// Settings are the deployment's figures: those of the scheduler, and those of the sockets.
type Settings struct {
	Scheduler   scheduler.Settings
	Classes     []string        // by the scheduler's index; "" for one that is no more
	Names       []string        // the same, with those that are no more
	PlanNames   []string        // and so of plans
	Waits       []time.Duration // by class, how long its clients wait at most
	Writes      []bool          // which classes write; none where that is not told
	Plans       []string
	Zones       []string
	Shards      int    // shards are numbered from 0 to below this
	LoadReports bool   // probes are answered with a load report
	LoadQueue   string // its field that tells the requests waiting, "" where it has none
	MaxOpen     int    // requests open at once, 0 for no bound
	Askers      int    // fronts that share one discovery, which has to be asked; 0 where changes are pushed to an agent
	ConnIdle    time.Duration
	Connect     time.Duration
	LongestWait time.Duration // the longest that a client waits
	DrainGrace  time.Duration // so long after it was told a drain has to be heeded, 0 where that is not told
	Retry       time.Duration // longest advice that clients heed
}

// ParseSettings reads a settings object. Unknown keys are ignored. What sockets alone need may be missing.
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
		MeanUnits: f.MeanUnits, MaxUnits: f.MostUnits, ServedElsewhereTold: f.SaysOthers,
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
		Shards: in.FamilyInfo.Shards, MaxOpen: in.Ceilings.MaxOpen, ConnIdle: micros(in.Ceilings.ConnIdleUs),
		Connect: micros(in.Ceilings.ConnectTimeoutUs), Retry: micros(in.Ceilings.MaxRetryAfterUs), DrainGrace: micros(s.DrainGraceUs),
	}
	if in.RegistryMode == registryAsked {
		out.Askers = in.Balancers
	}
	for _, field := range in.Report.Fields {
		if queueFields[field] {
			out.LoadQueue = field
		}
	}
	for i, c := range in.Classes {
		repeat, ok := repeats[c.Semantics]
		group, known := groups[c.Group]
		if !ok || !known {
			return Settings{}, fmt.Errorf("classes[%d]: semantics %q, group %q", i, c.Semantics, c.Group)
		}
		window := scheduler.Micros(0)
		if c.WindowUs != nil {
			window = scheduler.Micros(*c.WindowUs)
		}
		out.Classes, out.Waits = append(out.Classes, c.Name), append(out.Waits, micros(c.GiveUpUs))
		out.LongestWait = max(out.LongestWait, micros(c.GiveUpUs))
		set.Classes = append(set.Classes, scheduler.Class{
			LatencyObjective: scheduler.Micros(c.AimUs), Idempotency: repeat, DedupScope: group,
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
	out.Scheduler, out.Names, out.PlanNames = set, out.Classes, out.Plans
	return out, nil
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// FormatSettings writes the scheduler's settings so that ParseSettings reads them back: classes and plans by number.
func FormatSettings(set scheduler.Settings) any {
	var out settings
	out.Balancers, out.SlotNo, out.TickUs = set.Fronts, set.FrontIndex, int64(set.Tick)
	c := &out.Ceilings
	c.Peers = set.PeerMessages
	c.TryLimit, c.Probing, c.Cancel, c.RetryAfter, c.MaxRetryAfterUs = set.MaxAttempts, set.HealthChecks, set.CancelAttempts, set.RetryAfter, int64(set.MaxRetryAfter)
	f := &out.FamilyInfo
	f.ColdUnits, f.MeanUnits, f.MostUnits, f.SaysOthers = set.SlowStartUnits, set.MeanUnits, set.MaxUnits, set.ServedElsewhereTold
	s := &out.Safety
	s.BudgetShare, s.BudgetSpanUs, s.ColdFrom, s.FallMultiple = set.RetryBudgetShare, int64(set.RetryBudgetSpan), set.InitialCapacity, set.OverloadMultiple
	s.FallUs, s.RampTimeUs, s.SpareAttempts, s.KeyRestUs = int64(set.OverloadSpan), int64(set.SlowStart), set.RetryBudgetMin, int64(set.KeyPause)
	for i, c := range set.Classes {
		in := class{Name: strconv.Itoa(i), AimUs: int64(c.LatencyObjective), ByArrival: c.InOrder, Credit: c.Priority}
		if c.DedupWindow > 0 {
			in.WindowUs = new(int64)
			*in.WindowUs = int64(c.DedupWindow)
		}
		for word, repeat := range repeats {
			if repeat == c.Idempotency {
				in.Semantics = word
			}
		}
		for word, group := range groups {
			if group == c.DedupScope && word != "" {
				in.Group = word
			}
		}
		out.Classes = append(out.Classes, in)
	}
	for i, p := range set.Plans {
		out.Contracts = append(out.Contracts, contract{strconv.Itoa(i), p.Limit, p.Reservation, p.Burst, p.Weight, p.Slack})
	}
	return out
}
