package protocol

import (
	"strings"
	"testing"
)

const goodConfig = `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1f","limits":{"memory_mb":192,"sockets":1024},
	"known":{"seq":1,"whole":true,"hosts":[]},"settings":{"balancers":1,"tickUs":2000,"registryMode":"pushed",
	"ceilings":{"connIdleUs":15000000,"connectTimeoutUs":250000,"tryLimit":3},"familyInfo":{"meanUnits":2,"mostUnits":6},
	"safety":{"coldFrom":0.2,"rampTimeUs":17000000,"drainGraceUs":500000},
	"classes":[{"name":"a","aimUs":1000,"giveUpUs":2000,"semantics":"dedup","group":"cell","windowUs":3000,"credit":1}],
	"contracts":[{"name":"p","shares":1,"ceilingRate":4,"limitBurst":2,"slack":1}]}}`

// Checks that invalid settings are rejected at a start and at a reload, before they can affect a client, and that the error names
// the field on a single line.
func TestInvalidSettingsAreNamed(t *testing.T) {
	good, err := ParseConfig([]byte(goodConfig))
	if err != nil || good.Settings.Scheduler.Classes[0].DedupWindow != 3000 {
		t.Fatal(err)
	}
	for _, c := range [][3]string{
		{`"windowUs":3000`, `"windowUs":0`, "classes[0].windowUs"},
		{`"giveUpUs":2000`, `"giveUpUs":-1`, "classes[0].giveUpUs"},
		{`"aimUs":1000`, `"aimUs":0`, "classes[0].aimUs"},
		{`"dedup"`, `"maybe"`, "classes[0].semantics"},
		{`"cell"`, `"rack"`, "classes[0].group"},
		{`"credit":1`, `"credit":-1`, "classes[0].credit"},
		{`"shares":1`, `"shares":-1`, "contracts[0].shares"},
		{`"limitBurst":2`, `"limitBurst":0`, "contracts[0].limitBurst"},
		{`"ceilingRate":4`, `"ceilingRate":-4`, "contracts[0].ceilingRate"},
		{`"name":"p"`, `"name":""`, "contracts[0].name"},
		{`"coldFrom":0.2`, `"coldFrom":1.2`, "safety.coldFrom"},
		{`"connectTimeoutUs":250000`, `"connectTimeoutUs":0`, "ceilings.connectTimeoutUs"},
		{`"settings":{`, `"settings":null,"others":{`, "settings"},
		{`"classes":[`, `"classes":[],"others":[`, "classes"},
	} {
		text := strings.Replace(goodConfig, c[0], c[1], 1)
		if _, err := ParseConfig([]byte(text)); err == nil || !strings.Contains(err.Error(), c[2]) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", c[1], err)
		}
		if _, err := ParseReload([]byte(text), good, []byte(goodConfig)); err == nil {
			t.Errorf("%s: accepted as a reload", c[1])
		}
	}
	none := strings.Replace(goodConfig, `"windowUs":3000,`, "", 1)
	if got, err := ParseConfig([]byte(none)); err != nil || got.Settings.Scheduler.Classes[0].DedupWindow != 0 {
		t.Errorf("class without a deduplication window: %v", err)
	}
}
