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
		const rate, burst, last = 2e-6, 10.0, 3_000_000 // 2 units a second
		lease := rapid.SampledFrom([]float64{1, 3, 8}).Draw(t, "lease")
		spell := rapid.SampledFrom([]int64{0, 100_000, 1_500_000, 3_000_001})
		now := int64(1)
		actual := Bucket[int64]{At: now} // the bucket of an owner that never crashes
		own := Bucket[int64]{At: now}
		var disk, made *Bucket[int64] // the record on disk, and one that is being written
		die := func() {
			if made != nil && rapid.Bool().Draw(t, "renamed") {
				disk = made
			}
			made = nil
			now += spell.Draw(t, "down")
			own = Bucket[int64]{At: now}
			if disk != nil && now <= disk.BoundUntil { // later it is too old to be read back
				own = Recovered(*disk, now, rate, burst)
			}
		}
		draw := func(t *rapid.T) {
			units := rapid.SampledFrom([]float64{0.5, 1, 3}).Draw(t, "units")
			own.Refill(now, rate, burst)
			actual.Refill(now, rate, burst)
			for own.Allows(now, units, 0) {
				own.Draw(now, units, lease)
				if actual.Level -= units; actual.Level < -1e-9 {
					t.Fatalf("drew %v units more than the limit allows", -actual.Level)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) { now += spell.Draw(t, "wait") },
			"draw": draw, "draw more": draw,
			"record": func(_ *rapid.T) {
				if made == nil {
					own.Refill(now, rate, burst)
					r := own.Record(lease, last)
					made = &r
				}
			},
			"written": func(_ *rapid.T) {
				if made != nil {
					own.RecordSaved(true, true)
					disk, made = made, nil
				}
			},
			"lost": func(_ *rapid.T) { // writing failed before the rename
				own.RecordSaved(false, false)
				made = nil
			},
			"doubtful": func(t *rapid.T) { // writing failed after the rename, which may be undone
				if made != nil {
					own.RecordSaved(true, false)
					if rapid.Bool().Draw(t, "there") {
						disk = made
					}
					made = nil
				}
			},
			"die": func(_ *rapid.T) { die() },
		})
	}
	for range 40 { // a hundred random sequences each
		rapid.Check(t, check)
	}
}

// A crash costs at most the lease.
func TestLeaseIsWhatACrashCosts(t *testing.T) {
	const rate, burst = 1e-6, 30.0
	b := Bucket[int64]{Level: burst, At: 1}
	record := b.Record(5, 10_000_000)
	if !b.Allows(1, 5, 0) || b.Allows(1, 5.1, 0) {
		t.Error("the first lease does not count at once, or does not limit the draws")
	}
	if low := b.Draw(1, 3, 5); !low {
		t.Error("Draw does not report a low lease with 2 of 5 units left")
	}
	got := Recovered(record, 1, rate, burst)
	if got.Level != 25 || got.Allows(1, 1, 0) {
		t.Errorf("recovered %+v, want a level of 25 and no draw allowed yet", got)
	}
	again := got.Record(5, 10_000_000)
	if got.Allows(1, 1, 0) {
		t.Error("a draw is allowed before the record of its lease is saved")
	}
	got.RecordSaved(true, true)
	if !got.Allows(1, 5, 0) || again.Lease != 5 {
		t.Errorf("bucket %+v after the record %+v, want 5 units allowed and a lease of 5", got, again)
	}
}
