package sftp

import (
	"context"
	"log/slog"
	"sync"

	"otterturn/internal/changes"
	"otterturn/internal/memory"
	files "otterturn/internal/net/protocol/sftp"
	"otterturn/internal/net/routing"
	"otterturn/scheduler"
)

// changeOrder runs the ledger of changes: it lets commands wait, and keeps a record of each change while a node may carry it out.
type changeOrder struct {
	store  ChangeStore // nil: nothing is kept
	memory *memory.Budget
	log    *slog.Logger

	mu      sync.Mutex
	ledger  *changes.Ledger
	pending map[changes.Ticket]*pendingChange
}

// pendingChange is a change from its entry into the ledger until no node will carry it out any more. The lock of its order guards it.
type pendingChange struct {
	order      *changeOrder
	ticket     changes.Ticket
	memory     *memory.Reservation
	record     changes.Record
	recordID   uint64        // of the record in the store, 0 if there is none
	decided    chan error    // receives the decision on a change that waits; nil if it may run
	ended      chan struct{} // closed when the change is neither waiting nor running any more
	endedOnce  sync.Once
	attempts   int  // attempts in progress
	unanswered int  // ended attempts that a node may still carry out
	completed  bool // the command has its final answer, so that no further attempt begins
}

// changeBytes is the memory of a change without its paths, in bytes.
const changeBytes = 1024

func newChangeOrder(maxUnsettled int, budget *memory.Budget, log *slog.Logger) *changeOrder {
	return &changeOrder{
		memory: budget, log: log, ledger: changes.NewLedger(maxUnsettled), pending: map[changes.Ticket]*pendingChange{},
	}
}

// begin waits until a change may run. The caller must call complete on the result. If a node may still carry out an earlier change that
// conflicts with it, begin returns a *files.ChangeRefusedError. If ctx ends first, it returns its cause.
func (o *changeOrder) begin(ctx context.Context, c changes.Change, project string) (*pendingChange, error) {
	p, state, err := o.enter(c, project)
	if err != nil {
		return nil, &files.ChangeRefusedError{Cause: err}
	}
	if state == changes.Waiting {
		select {
		case err = <-p.decided:
		case <-ctx.Done():
			p.complete()
			return nil, context.Cause(ctx)
		}
	}
	if err != nil { // it has left the ledger
		return nil, &files.ChangeRefusedError{Cause: err}
	}
	return p, nil
}

// enter adds a change to the ledger.
func (o *changeOrder) enter(c changes.Change, project string) (*pendingChange, changes.State, error) {
	held := o.memory.NewReservation()
	if !held.Grow(sizeOf(c)) {
		return nil, changes.Waiting, changes.ErrFull
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	ticket, state, err := o.ledger.Enter(c, project)
	if err != nil {
		held.Release()
		return nil, state, err
	}
	return o.add(ticket, changes.Record{Change: c, Group: project}, held), state, nil
}

func sizeOf(c changes.Change) int64 {
	size := int64(changeBytes)
	for _, path := range c.Paths {
		size += int64(len(path))
	}
	return size
}

// add returns the pending change of a ticket. The caller holds the lock.
func (o *changeOrder) add(t changes.Ticket, r changes.Record, held *memory.Reservation) *pendingChange {
	p := &pendingChange{
		order: o, ticket: t, record: r, memory: held, decided: make(chan error, 1), ended: make(chan struct{}),
	}
	o.pending[t] = p
	return p
}

// awaitInProgress waits until the changes that conflict with c and are in progress now have ended.
func (o *changeOrder) awaitInProgress(ctx context.Context, c changes.Change) error {
	var wait []*pendingChange
	o.mu.Lock()
	for _, t := range o.ledger.InProgress(c) {
		wait = append(wait, o.pending[t])
	}
	o.mu.Unlock()
	for _, p := range wait {
		select {
		case <-p.ended:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// apply tells waiting changes what the ledger has decided. The caller holds the lock.
func (o *changeOrder) apply(decisions []changes.Decision) {
	for _, d := range decisions {
		p := o.pending[d.Ticket]
		if d.Refused != nil {
			o.drop(p)
		}
		p.decided <- d.Refused
	}
}

// attempt carries out an attempt of the change.
func (p *pendingChange) attempt(ctx context.Context, a routing.Attempt, cmd files.Command, send Attempter) (files.Reply, scheduler.AttemptEnded) {
	if !p.beginAttempt() {
		return files.Reply{}, scheduler.AttemptEnded{Result: scheduler.NotStarted}
	}
	if err := p.store(a.Node); err != nil {
		p.order.log.Error("change not sent, as it can't be stored", "error", err)
		p.endAttempt(a.Node, false)
		return files.Reply{}, scheduler.AttemptEnded{Result: scheduler.NotStarted}
	}
	reply, ended, mayStillRun := send(ctx, a, cmd, p.answered)
	p.endAttempt(a.Node, mayStillRun)
	return reply, ended
}

// beginAttempt reports whether an attempt may begin. None may after the command's final answer.
func (p *pendingChange) beginAttempt() bool {
	p.order.mu.Lock()
	defer p.order.mu.Unlock()
	if p.completed {
		return false
	}
	p.attempts++
	return true
}

// store makes sure that the next process knows about an attempt at a node.
func (p *pendingChange) store(node string) error {
	o := p.order
	if o.store == nil || p.recordID != 0 && p.record.Node == node {
		return nil
	}
	record := p.record
	record.Node = node
	id, err := o.store.Add(record)
	if err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if p.recordID != 0 { // an earlier attempt, at another node, never ran
		o.store.Remove(p.recordID)
	}
	p.record, p.recordID = record, id
	return nil
}

func (p *pendingChange) endAttempt(node string, mayStillRun bool) {
	o := p.order
	o.mu.Lock()
	defer o.mu.Unlock()
	p.attempts--
	if mayStillRun {
		p.unanswered++
	}
	if p.unanswered > 0 {
		o.log.Info("change unsettled", "path", p.record.Change.Paths[0], "node", node)
		p.closeEnded()
		o.apply(o.ledger.MarkUnsettled(p.ticket, node))
	}
	p.endIfSettled()
}

// answered records that a node has answered an attempt after its end, so that it won't carry it out any more.
func (p *pendingChange) answered() {
	p.order.mu.Lock()
	defer p.order.mu.Unlock()
	p.unanswered--
	p.endIfSettled()
}

// complete records that no further attempt begins. p may be nil, for a command that changes nothing.
func (p *pendingChange) complete() {
	if p == nil {
		return
	}
	p.order.mu.Lock()
	defer p.order.mu.Unlock()
	p.completed = true
	p.endIfSettled()
}

// endIfSettled ends the change if no node will carry it out any more. The caller holds the lock.
func (p *pendingChange) endIfSettled() {
	o := p.order
	if !p.completed || p.attempts > 0 || p.unanswered > 0 || o.pending[p.ticket] != p {
		return
	}
	o.drop(p)
	if p.recordID != 0 {
		o.store.Remove(p.recordID)
	}
	o.apply(o.ledger.End(p.ticket))
}

// drop forgets a change that has left the ledger. The caller holds the lock.
func (o *changeOrder) drop(p *pendingChange) {
	delete(o.pending, p.ticket)
	p.memory.Release()
	p.closeEnded()
}

func (p *pendingChange) closeEnded() { p.endedOnce.Do(func() { close(p.ended) }) }
