package snapshot

import (
	"reflect"
	"testing"

	"otterturn/scheduler"
)

// goldenFingerprint is the fingerprint of goldenSettings that the build of 2026-12-02 wrote into its files.
const goldenFingerprint = 0x3045f963c0cb8316

// goldenSettings has every field set, so that a test notices a field whose stored name changes.
func goldenSettings() scheduler.Settings {
	return scheduler.Settings{
		Fronts: 2, FrontIndex: 1, PeerMessages: true, Tick: 1000,
		Classes: []scheduler.Class{{
			LatencyObjective: 400_000, Idempotency: scheduler.IdempotentByKey,
			DedupScope: scheduler.SameShard, DedupWindow: 1_000_000, InOrder: true, Priority: 3,
		}},
		Plans:     []scheduler.Plan{{Reservation: 100, Weight: 2, Limit: 10, Burst: 20, Slack: 3}},
		MeanUnits: 2, MaxUnits: 8, ServedElsewhereReported: true, MaxOpen: 100, MaxAttempts: 3, HealthChecks: true,
		CancelAttempts: true, ServeLate: true,
		RetryAfter: true, MaxRetryAfter: 2_000_000,
		InitialCapacity: 0.25, SlowStart: 10_000_000, OverloadMultiple: 3, OverloadSpan: 1_000_000, SlowStartUnits: 8, KeyPause: 200_000,
		RetryBudgetSpan: 5_000_000, RetryBudgetMin: 2, RetryBudgetShare: 0.2, Lease: 1_000_000, RecordLifetime: 9_000_000,
	}
}

// TestFingerprintIsStable checks the fingerprint against the one in stored files. If it changed, a new version would
// drop the learned state of an earlier one as learned under other settings.
func TestFingerprintIsStable(t *testing.T) {
	settings := goldenSettings()
	if got := Fingerprint(settings); got != goldenFingerprint {
		t.Errorf("fingerprint %#x, want %#x", got, uint64(goldenFingerprint))
	}
	value := reflect.ValueOf(settings)
	for i := range value.NumField() {
		if value.Field(i).IsZero() {
			t.Errorf("scheduler.Settings.%s is not set", value.Type().Field(i).Name)
		}
	}
}
