package health

import (
	"math"
	"strings"
	"testing"
)

func TestValidateNamesInvalidField(t *testing.T) {
	zones := []int{0, 0, 0, 0, 0, 2, 2, 2}
	for want, change := range map[string]func(c *Config){
		"probers: 5, but zone 2 has 3 fronts":             func(c *Config) { c.Probers = 5 },
		"probers: 0, must be at least 1":                  func(c *Config) { c.Probers = 0 },
		"quorum: 1, must be at least 2":                   func(c *Config) { c.Quorum = 1 },
		"quorum: 4, but there are 3 probers":              func(c *Config) { c.Quorum = 4 },
		"zones: must not be empty":                        func(c *Config) { c.Zones = nil },
		"zones: front 1 has zone -3, must be at least 0":  func(c *Config) { c.Zones = []int{0, -3, 0, 0} },
		"self: 8, but there are 8 fronts":                 func(c *Config) { c.Self = 8 },
		"self: -1, but":                                   func(c *Config) { c.Self = -1 },
		"suspect_after: must be above 0":                  func(c *Config) { c.SuspectAfter = 0 },
		"probe_late: must be above 0":                     func(c *Config) { c.ProbeTimeout = -1 },
		"evidence_life: must be above 0":                  func(c *Config) { c.EvidenceLifetime = 0 },
		"evidence_life: 9000 ms, must be at most 8000 ms": func(c *Config) { c.EvidenceLifetime = 9 * second },
		"takeover_after: must be above 0":                 func(c *Config) { c.TakeoverAfter = 0 },
		"probes_per_node: must be above 0":                func(c *Config) { c.ProbesPerNode = math.NaN() },
		"probes_per_node: 1, but the 6 probers of a":      func(c *Config) { c.ProbesPerNode = 1 },
		"message_bytes: must be at least 256":             func(c *Config) { c.MessageRate = 0 },
	} {
		c := Defaults(0, 1, zones)
		change(&c)
		err := c.Validate()
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %q", err, want)
		}
		if _, same := New(c); same == nil {
			t.Errorf("%s: New accepts the configuration", want)
		}
	}
	if err := Defaults(7, 1, zones).Validate(); err != nil {
		t.Error(err)
	}
}

// Reconfigure rejects an invalid configuration without any change. A valid one keeps the evidence of this zone's fronts
// and pending probe requests, and drops evidence of fronts that are now in another zone.
func TestReconfigureKeepsValidState(t *testing.T) {
	const now = 10 * second
	m := newTestMonitor(t, 0, zonesOf(1, 6), now)
	m.Step(now, []Event{
		MessageReceived{1, messageAboutA(1, now, Silent, 0)}, MessageReceived{2, messageAboutA(1, now, Silent, 0)}, ProbeRequested{"a"},
	})
	bad := m.config
	bad.Probers = 7
	if m.Reconfigure(bad) == nil || m.config.Probers != DefaultProbers {
		t.Error("an invalid configuration was accepted")
	}
	m.Step(now+1, nil)
	if !m.avoids("a") {
		t.Error("an invalid configuration changes the avoided nodes")
	}
	good := Defaults(0, 1, []int{0, 0, 0, 0, 0, 0, 0})
	if err := m.Reconfigure(good); err != nil {
		t.Error(err)
	}
	if m.Step(now+2, nil); !m.avoids("a") {
		t.Error("an additional front in the zone changes the avoided nodes")
	}
	good.Zones = []int{0, 1, 0, 0, 1, 1, 0} // front 1 is in another zone now
	if err := m.Reconfigure(good); err != nil {
		t.Error(err)
	}
	if m.Step(now+3, nil); m.avoids("a") {
		t.Error("evidence of a front in another zone counts")
	}
	if n := m.byName["a"]; !n.schedulerWaits {
		t.Error("a pending probe request is lost")
	}
	good.Zones[1] = 0 // the monitor must have its own copy of the list
	if m.inZone(1) {
		t.Error("the list of zones is shared with the caller")
	}
}
