package snapshot

import (
	"reflect"
	"testing"

	"otterturn/scheduler"
)

// goldenFingerprint is that of goldenSettings, as the build of 2026-12-02 wrote it into the files that it left.
const goldenFingerprint = 0x3045f963c0cb8316

// goldenSettings has every field set, so that one whose stored name changes shows.
func goldenSettings() scheduler.Settings {
	return scheduler.Settings{
		Hosts: 2, Number: 1, Peers: true, Tick: 1000,
		Classes:   []scheduler.Class{{Aim: 400_000, Repeat: scheduler.Keyed, Group: scheduler.SameShard, Window: 1_000_000, InOrder: true, Worth: 3}},
		Plans:     []scheduler.Plan{{Reservation: 100, Weight: 2, Limit: 10, Burst: 20, Slack: 3}},
		MeanUnits: 2, MostUnits: 8, Elsewhere: true, MaxOpen: 100, MaxTries: 3, Probing: true, Cancel: true, LateWanted: true,
		RetryAfter: true, MaxRetryAfter: 2_000_000,
		ColdFrom: 0.25, Ramp: 10_000_000, FallMultiple: 3, FallSpan: 1_000_000, ColdUnits: 8, KeyRest: 200_000,
		RetrySpan: 5_000_000, RetrySpare: 2, RetryShare: 0.2, Lease: 1_000_000, LeaseLast: 9_000_000,
	}
}

// TestFingerprintIsThatOfEarlierBuilds holds the fingerprint to what stored files carry: under another one a new version
// would take what an earlier one learned for learned under other settings, and drop it.
func TestFingerprintIsThatOfEarlierBuilds(t *testing.T) {
	set := goldenSettings()
	if got := Fingerprint(set); got != goldenFingerprint {
		t.Errorf("fingerprint %#x, want %#x", got, uint64(goldenFingerprint))
	}
	value := reflect.ValueOf(set)
	for i := range value.NumField() {
		if value.Field(i).IsZero() {
			t.Errorf("settings.%s is not set", value.Type().Field(i).Name)
		}
	}
}
