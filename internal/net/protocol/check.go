package protocol

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// check returns an error that names every invalid field. It applies to the settings of a start and of a reload.
func (in *settings) check() error {
	var problems []string
	rejectIf := func(bad bool, format string, args ...any) {
		if bad {
			problems = append(problems, fmt.Sprintf(format, args...))
		}
	}
	rejectIf(len(in.Classes) == 0, "classes: must not be empty")
	rejectIf(len(in.Contracts) == 0, "contracts: must not be empty")
	for i, c := range in.Classes {
		field := fmt.Sprintf("classes[%d]", i)
		_, knownSemantics := idempotencies[c.Semantics]
		_, knownGroup := dedupScopes[c.Group]
		rejectIf(c.Name == "" || slices.IndexFunc(in.Classes, func(o class) bool { return o.Name == c.Name }) != i,
			"%s.name: missing or duplicate", field)
		rejectIf(!knownSemantics, "%s.semantics: %q is unknown", field, c.Semantics)
		rejectIf(!knownGroup, "%s.group: %q is unknown", field, c.Group)
		rejectIf(c.AimUs <= 0, "%s.aimUs: must be above 0", field)
		rejectIf(c.GiveUpUs <= 0, "%s.giveUpUs: must be above 0", field)
		rejectIf(c.WindowUs != nil && *c.WindowUs <= 0 && c.Semantics == "dedup", "%s.windowUs: must be above 0", field)
		rejectIf(c.Credit < 0, "%s.credit: must not be below 0", field)
	}
	for i, p := range in.Contracts {
		field := fmt.Sprintf("contracts[%d]", i)
		rejectIf(p.Name == "" || slices.IndexFunc(in.Contracts, func(o contract) bool { return o.Name == p.Name }) != i,
			"%s.name: missing or duplicate", field)
		rejectIf(p.Shares < 0, "%s.shares: must not be below 0", field)
		rejectIf(p.FloorRate < 0, "%s.floorRate: must not be below 0", field)
		rejectIf(p.CeilingRate < 0, "%s.ceilingRate: must not be below 0", field)
		rejectIf(p.CeilingRate > 0 && p.LimitBurst <= 0, "%s.limitBurst: must be above 0 where there is a ceilingRate", field)
		rejectIf(p.Slack < 0, "%s.slack: must not be below 0", field)
	}
	rejectIf(in.Ceilings.ConnIdleUs <= 0, "ceilings.connIdleUs: must be above 0")
	rejectIf(in.Ceilings.ConnectTimeoutUs <= 0, "ceilings.connectTimeoutUs: must be above 0")
	rejectIf(in.TickUs <= 0, "tickUs: must be above 0")
	rejectIf(in.FamilyInfo.MeanUnits <= 0, "familyInfo.meanUnits: must be above 0")
	rejectIf(in.Safety.RampTimeUs > 0 && (in.Safety.ColdFrom <= 0 || in.Safety.ColdFrom > 1),
		"safety.coldFrom: must be above 0 and at most 1")
	rejectIf(in.Safety.DrainGraceUs < 0, "safety.drainGraceUs: must not be below 0")
	if len(problems) > 0 {
		return errors.New(strings.Join(problems, "; ")) // kept on a single line for the log
	}
	return nil
}
