package tokenbucket

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// The owner of a bucket crashes at random times, and its records are written, lost or left in doubt at random. Guards
// against draws beyond what a bucket whose owner never crashes would allow.
func TestLimitHoldsAcrossCrashes(t *testing.T) {
	flag.Set("rapid.steps", "400") // a failure takes a record, draws, a crash, another record and draws
	check := func(t *rapid.T) {
		const rate, burst, lifetime = 2e-6, 10.0, 3_000_000 // 2 units per second
		lease := rapid.SampledFrom([]float64{1, 3, 8}).Draw(t, "lease")
		duration := rapid.SampledFrom([]int64{0, 100_000, 1_500_000, 3_000_001})
		now := int64(1)
		reference := Bucket[int64]{At: now} // the bucket of an owner that never crashes
		bucket := Bucket[int64]{At: now}
		var disk, pending *Bucket[int64] // the record on disk, and one that is being written
		crash := func() {
			if pending != nil && rapid.Bool().Draw(t, "renamed") {
				disk = pending
			}
			pending = nil
			now += duration.Draw(t, "down")
			bucket = Bucket[int64]{At: now}
			if disk != nil && now <= disk.BoundUntil { // later it is too old to be read back
				bucket = Recovered(*disk, now, rate, burst)
			}
		}
		draw := func(t *rapid.T) {
			units := rapid.SampledFrom([]float64{0.5, 1, 3}).Draw(t, "units")
			bucket.Refill(now, rate, burst)
			reference.Refill(now, rate, burst)
			for bucket.Allows(now, units, 0) {
				bucket.Draw(now, units, lease)
				if reference.Level -= units; reference.Level < -1e-9 {
					t.Fatalf("drew %v units more than the limit allows", -reference.Level)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) { now += duration.Draw(t, "wait") },
			"draw": draw, "draw more": draw,
			"record": func(_ *rapid.T) {
				if pending == nil {
					bucket.Refill(now, rate, burst)
					r := bucket.Record(lease, lifetime)
					pending = &r
				}
			},
			"written": func(_ *rapid.T) {
				if pending != nil {
					bucket.RecordSaved(true, true)
					disk, pending = pending, nil
				}
			},
			"lost": func(_ *rapid.T) { // writing failed before the rename
				bucket.RecordSaved(false, false)
				pending = nil
			},
			"uncertain": func(t *rapid.T) { // writing failed after the rename, which may be undone
				if pending != nil {
					bucket.RecordSaved(true, false)
					if rapid.Bool().Draw(t, "on disk") {
						disk = pending
					}
					pending = nil
				}
			},
			"crash": func(_ *rapid.T) { crash() },
		})
	}
	for range 40 { // a hundred random sequences each
		rapid.Check(t, check)
	}
}

// A crash costs at most the lease.
func TestCrashCostsAtMostTheLease(t *testing.T) {
	const rate, burst = 1e-6, 30.0
	bucket := Bucket[int64]{Level: burst, At: 1}
	record := bucket.Record(5, 10_000_000)
	if !bucket.Allows(1, 5, 0) || bucket.Allows(1, 5.1, 0) {
		t.Error("the first lease does not count at once, or does not limit the draws")
	}
	if low := bucket.Draw(1, 3, 5); !low {
		t.Error("Draw does not report a low lease with 2 of 5 units left")
	}
	recovered := Recovered(record, 1, rate, burst)
	if recovered.Level != 25 || recovered.Allows(1, 1, 0) {
		t.Errorf("recovered %+v, want a level of 25 and no draw allowed yet", recovered)
	}
	newRecord := recovered.Record(5, 10_000_000)
	if recovered.Allows(1, 1, 0) {
		t.Error("a draw is allowed before the record of its lease is saved")
	}
	recovered.RecordSaved(true, true)
	if !recovered.Allows(1, 5, 0) || newRecord.Lease != 5 {
		t.Errorf("bucket %+v after the record %+v, want 5 units allowed and a lease of 5", recovered, newRecord)
	}
}
