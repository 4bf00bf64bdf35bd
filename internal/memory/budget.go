// Package memory bounds the memory that the parts of the program together hold for other processes: bodies, answers, large heads and
// whatever else has no fixed size. A part reserves bytes before it allocates them. The package decides nothing about who has to wait.
package memory

import (
	"context"
	"sync"
	"time"
)

// Budget is a number of bytes that can be reserved. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	size  int64
	used  int64
	freed chan struct{} // closed and replaced when bytes are released
}

// NewBudget returns a budget of the given size in bytes.
func NewBudget(size int64) *Budget { return &Budget{size: size, freed: make(chan struct{})} }

// Size returns the size in bytes.
func (b *Budget) Size() int64 { return b.size }

// Used returns the reserved bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// TryReserve reserves bytes, and reports whether there was room for them.
func (b *Budget) TryReserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.size {
		return false
	}
	b.used += n
	return true
}

// Release releases bytes that TryReserve has reserved.
func (b *Budget) Release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	close(b.freed)
	b.freed = make(chan struct{})
}

func (b *Budget) nextRelease() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.freed
}

// Reservation holds bytes of a budget. It is safe for concurrent use.
type Reservation struct {
	budget *Budget

	mu       sync.Mutex
	bytes    int64
	holders  int  // users of the memory that have not ended
	released bool // Release was called while there were holders
}

// NewReservation returns a reservation without bytes.
func (b *Budget) NewReservation() *Reservation { return &Reservation{budget: b} }

// Bytes returns the reserved bytes.
func (r *Reservation) Bytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}

// Grow reserves further bytes, and reports whether there was room for them.
func (r *Reservation) Grow(n int64) bool {
	if n <= 0 {
		return true
	}
	if !r.budget.TryReserve(n) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes += n
	return true
}

// retryInterval is how often GrowWait calls makeRoom.
const retryInterval = 20 * time.Millisecond

// GrowWait waits until it has reserved further bytes. While there is no room it calls makeRoom, unless nil, again and again. It fails when
// ctx ends.
func (r *Reservation) GrowWait(ctx context.Context, n int64, makeRoom func()) error {
	for {
		freed := r.budget.nextRelease() // before the attempt, so that no release is missed
		if r.Grow(n) {
			return nil
		}
		if makeRoom != nil {
			makeRoom()
		}
		retry := time.NewTimer(retryInterval)
		select {
		case <-freed:
		case <-retry.C:
		case <-ctx.Done():
			retry.Stop()
			return ctx.Err()
		}
		retry.Stop()
	}
}

// Hold marks that the memory is in use until the returned function is called, whether or not Release is called before.
func (r *Reservation) Hold() (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holders++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.holders--; r.holders == 0 && r.released {
			r.free()
		}
	}
}

// Release releases all bytes, or lets the last holder do so. Without holders the reservation can be used again.
func (r *Reservation) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holders > 0 {
		r.released = true
		return
	}
	r.free()
}

// free returns the bytes to the budget. The caller holds the lock.
func (r *Reservation) free() {
	if r.bytes > 0 {
		r.budget.Release(r.bytes)
	}
	r.bytes = 0
}
