package sftp

import (
	"maps"
	"slices"

	"otterturn/internal/changes"
)

// ChangeStore keeps the changes in progress, so that the next process knows which ones a node may still carry out.
type ChangeStore interface {
	All() (map[uint64]changes.Record, error)
	Add(changes.Record) (id uint64, err error) // returns once the record is durable
	Remove(id uint64)
}

// useStore restores the changes of an earlier process, and keeps the changes that begin from now on.
func (o *changeOrder) useStore(store ChangeStore) error {
	stored, err := store.All()
	if err != nil {
		return err
	}
	o.mu.Lock()
	o.store = store
	o.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(stored)) {
		o.restore(id, stored[id])
	}
	if len(stored) > 0 {
		o.log.Warn("changes of the previous process are unsettled", "changes", len(stored))
	}
	return nil
}

// restore adds a change that an earlier process may have sent.
func (o *changeOrder) restore(id uint64, r changes.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	held := o.memory.NewReservation()
	held.Grow(sizeOf(r.Change)) // without room it is restored all the same: the previous process had room for it
	p := o.add(o.ledger.Restore(r), r, held)
	p.recordID, p.unanswered, p.completed = id, 1, true
}

// unsettled returns the unsettled changes, the oldest first.
func (o *changeOrder) unsettled() []changes.Entry {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.Unsettled()
}

// settle ends the unsettled changes that match, and returns their number.
func (o *changeOrder) settle(matches func(changes.Entry) bool) (settled int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range o.ledger.Unsettled() {
		if !matches(e) {
			continue
		}
		p := o.pending[e.Ticket]
		p.completed, p.attempts, p.unanswered = true, 0, 0
		p.endIfSettled()
		settled++
	}
	return settled
}
