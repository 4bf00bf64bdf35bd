// Package tokenbucket implements a token bucket whose limit holds across crashes of its owner. Before units are drawn, a
// lease for them is written to a record; if the owner crashes, the whole lease counts as drawn. The package reads no clock
// and does no I/O.
//
// A record states the level at a time, and that at most the lease was drawn since then. Without draws the level would now be
// min(burst, level + rate x age). Each draw lowers it by at most its units, as the burst limits the units that flow in and
// not those that are drawn. So the level is at least that minimum less the lease, and never below 0.
package tokenbucket

// Bucket holds units. The zero value is empty at time 0 and has no record that limits its draws.
type Bucket[T ~int64] struct {
	Level      float64 // units at the time At
	At         T       // in microseconds
	Lease      float64 // units that may still be drawn; in a record, units that may have been drawn since At
	BoundUntil T       // until then a record may be read back, so at most Lease is drawn

	pendingLease      float64 // added to Lease once the record that is being written is on disk
	pendingBoundUntil T       // BoundUntil once that record is on disk; 0 if no record is being written
}

// Refill adds the units that flowed in since the last refill. rate is in units per microsecond, burst in units.
func (b *Bucket[T]) Refill(now T, rate, burst float64) {
	b.Level = min(burst, b.Level+rate*float64(now-b.At))
	b.At = now
}

// Allows reports whether units may be drawn now so that at least minLevel units remain.
func (b *Bucket[T]) Allows(now T, units, minLevel float64) bool {
	return b.Level-units >= minLevel && (!b.IsBound(now) || units <= b.Lease)
}

// IsBound reports whether a record may be read back at a time. This includes a record that is being written.
func (b *Bucket[T]) IsBound(now T) bool { return now <= max(b.BoundUntil, b.pendingBoundUntil) }

// Draw removes units. It reports whether a record limits the draws and less than half of a whole lease is left.
func (b *Bucket[T]) Draw(now T, units, lease float64) (low bool) {
	b.Level -= units
	b.Lease = max(0, b.Lease-units)
	return b.IsBound(now) && b.Lease < lease/2
}

// Record returns the record to write. Its lease is for the units drawn until the next record, and it may be read back during
// its lifetime. The units that it adds to the bucket's lease may be drawn after RecordSaved, or at once if no record limits
// the draws. Refill must have been called for the present time.
func (b *Bucket[T]) Record(lease float64, lifetime T) Bucket[T] {
	if !b.IsBound(b.At) { // from now on the lease limits the draws
		b.Lease = lease
	}
	b.pendingLease, b.pendingBoundUntil = max(0, lease-b.Lease), b.At+lifetime
	return Bucket[T]{Level: b.Level, At: b.At, Lease: b.Lease + b.pendingLease, BoundUntil: b.pendingBoundUntil}
}

// RecordSaved takes the result of writing the last record: readable means that it may be read back from now on, latest that
// no earlier record may.
func (b *Bucket[T]) RecordSaved(readable, latest bool) {
	if readable {
		b.BoundUntil = max(b.BoundUntil, b.pendingBoundUntil)
	}
	if readable && latest {
		b.Lease += b.pendingLease
	}
	b.pendingLease, b.pendingBoundUntil = 0, 0
}

// Recovered returns the bucket of an owner that crashed, from its last record. Nothing may be drawn until a new record is
// written: after another crash the old record would be read back again, without the units drawn since.
func Recovered[T ~int64](record Bucket[T], now T, rate, burst float64) Bucket[T] {
	b := Bucket[T]{Level: record.Level, At: record.At}
	b.Refill(now, rate, burst)
	b.Level = max(0, b.Level-record.Lease)
	b.BoundUntil = record.BoundUntil
	return b
}
