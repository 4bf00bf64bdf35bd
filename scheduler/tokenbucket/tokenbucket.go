// Package tokenbucket is a token bucket that holds across a crash of its owner. What may be drawn is written down before
// it is drawn, as a lease that counts as spent if the owner dies. It reads no clock and does no I/O.
//
// A record says: at a time the level was so much, and at most the lease was drawn since. Without draws the level
// would now be min(burst, level + rate x age). Each draw lowers it by its units at most, as the burst cuts off what
// flows in and not what flows out. So it is at least that less the lease, and never below 0.
package tokenbucket

// Bucket holds units. The zero value is empty since time 0, and free: no record of it binds its draws.
type Bucket[T ~int64] struct {
	Level      float64 // units, as of At
	At         T       // microseconds
	Lease      float64 // units that may be drawn yet; of a record, those that may have been drawn since
	BoundUntil T       // until then a record may be read back, so no more than Lease is drawn

	pendingLease      float64 // of Lease, once the record that is being written is on disk
	pendingBoundUntil T       // and Bound then; 0 where none is being written
}

// Refill adds what flowed in since the last time: rate in units a microsecond, burst in units.
func (b *Bucket[T]) Refill(now T, rate, burst float64) {
	b.Level = min(burst, b.Level+rate*float64(now-b.At))
	b.At = now
}

// Allows tells whether units may be drawn now, with so much kept back.
func (b *Bucket[T]) Allows(now T, units, keep float64) bool {
	return b.Level-units >= keep && (!b.IsBound(now) || units <= b.Lease)
}

// IsBound tells whether a record may be read back at a time; so may one that is being written.
func (b *Bucket[T]) IsBound(now T) bool { return now <= max(b.BoundUntil, b.pendingBoundUntil) }

// Draw takes units out, and tells whether less than half of what one lease holds is left of it.
func (b *Bucket[T]) Draw(now T, units, lease float64) (low bool) {
	b.Level -= units
	b.Lease = max(0, b.Lease-units)
	return b.IsBound(now) && b.Lease < lease/2
}

// Record is what is to be written down, with a lease of so many units for the time until the next record, and last
// for how long it may be read back. What it adds to the lease counts from Written on, and at once where no record
// binds. The bucket must be filled up to now.
func (b *Bucket[T]) Record(lease float64, last T) Bucket[T] {
	if !b.IsBound(b.At) { // from here on it is the lease that bounds the draws
		b.Lease = lease
	}
	b.pendingLease, b.pendingBoundUntil = max(0, lease-b.Lease), b.At+last
	return Bucket[T]{Level: b.Level, At: b.At, Lease: b.Lease + b.pendingLease, BoundUntil: b.pendingBoundUntil}
}

// RecordSaved tells how the last record ended: whether it may be read back from now on, and whether no earlier one may.
func (b *Bucket[T]) RecordSaved(there, sure bool) {
	if there {
		b.BoundUntil = max(b.BoundUntil, b.pendingBoundUntil)
	}
	if there && sure {
		b.Lease += b.pendingLease
	}
	b.pendingLease, b.pendingBoundUntil = 0, 0
}

// Recovered is the bucket of an owner that died, from its last record. Nothing may be drawn until a new record is
// written: the old one would be read back again, without what was drawn since.
func Recovered[T ~int64](record Bucket[T], now T, rate, burst float64) Bucket[T] {
	b := Bucket[T]{Level: record.Level, At: record.At}
	b.Refill(now, rate, burst)
	b.Level = max(0, b.Level-record.Lease)
	b.BoundUntil = record.BoundUntil
	return b
}
