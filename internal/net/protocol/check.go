package protocol

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// check returns an error that names every invalid field. It applies to the settings of a start and of a reload.
func (in *settings) check() error {
	var wrong []string
	say := func(bad bool, format string, args ...any) {
		if bad {
			wrong = append(wrong, fmt.Sprintf(format, args...))
		}
	}
	say(len(in.Classes) == 0, "classes: must not be empty")
	say(len(in.Contracts) == 0, "contracts: must not be empty")
	for i, c := range in.Classes {
		at := fmt.Sprintf("classes[%d]", i)
		_, repeat := repeats[c.Semantics]
		_, group := groups[c.Group]
		say(c.Name == "" || slices.IndexFunc(in.Classes, func(o class) bool { return o.Name == c.Name }) != i, "%s.name: missing, or stands twice", at)
		say(!repeat, "%s.semantics: %q is unknown", at, c.Semantics)
		say(!group, "%s.group: %q is unknown", at, c.Group)
		say(c.AimUs <= 0, "%s.aimUs: must be above 0", at)
		say(c.GiveUpUs <= 0, "%s.giveUpUs: must be above 0", at)
		say(c.WindowUs != nil && *c.WindowUs <= 0 && c.Semantics == "dedup", "%s.windowUs: must be above 0", at)
		say(c.Credit < 0, "%s.credit: must not be below 0", at)
	}
	for i, p := range in.Contracts {
		at := fmt.Sprintf("contracts[%d]", i)
		say(p.Name == "" || slices.IndexFunc(in.Contracts, func(o contract) bool { return o.Name == p.Name }) != i, "%s.name: missing, or stands twice", at)
		say(p.Shares < 0, "%s.shares: must not be below 0", at)
		say(p.FloorRate < 0, "%s.floorRate: must not be below 0", at)
		say(p.CeilingRate < 0, "%s.ceilingRate: must not be below 0", at)
		say(p.CeilingRate > 0 && p.LimitBurst <= 0, "%s.limitBurst: must be above 0 where there is a ceilingRate", at)
		say(p.Slack < 0, "%s.slack: must not be below 0", at)
	}
	say(in.Ceilings.ConnIdleUs <= 0, "ceilings.connIdleUs: must be above 0")
	say(in.Ceilings.ConnectTimeoutUs <= 0, "ceilings.connectTimeoutUs: must be above 0")
	say(in.TickUs <= 0, "tickUs: must be above 0")
	say(in.FamilyInfo.MeanUnits <= 0, "familyInfo.meanUnits: must be above 0")
	say(in.Safety.RampTimeUs > 0 && (in.Safety.ColdFrom <= 0 || in.Safety.ColdFrom > 1), "safety.coldFrom: must be above 0 and at most 1")
	say(in.Safety.DrainGraceUs < 0, "safety.drainGraceUs: must not be below 0")
	if len(wrong) > 0 {
		return errors.New(strings.Join(wrong, "; ")) // kept on a single line for the log
	}
	return nil
}
