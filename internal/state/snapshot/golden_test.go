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
		Fronts: 2, FrontIndex: 1, PeerMessages: true, Tick: 1000,
		Classes:   []scheduler.Class{{LatencyObjective: 400_000, Idempotency: scheduler.IdempotentByKey, DedupScope: scheduler.SameShard, DedupWindow: 1_000_000, InOrder: true, Priority: 3}},
		Plans:     []scheduler.Plan{{Reservation: 100, Weight: 2, Limit: 10, Burst: 20, Slack: 3}},
		MeanUnits: 2, MaxUnits: 8, ServedElsewhereTold: true, MaxOpen: 100, MaxAttempts: 3, HealthChecks: true, CancelAttempts: true, ServeLate: true,
		RetryAfter: true, MaxRetryAfter: 2_000_000,
		InitialCapacity: 0.25, SlowStart: 10_000_000, OverloadMultiple: 3, OverloadSpan: 1_000_000, SlowStartUnits: 8, KeyPause: 200_000,
		RetryBudgetSpan: 5_000_000, RetryBudgetMin: 2, RetryBudgetShare: 0.2, Lease: 1_000_000, RecordLifetime: 9_000_000,
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
