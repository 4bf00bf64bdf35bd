// Package saver saves what a front learns, now and then and at once where a project's lease runs low, and reads it
// back at the next start. It decides nothing of what counts: that is package decay's.
package saver

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"otterturn/internal/net/routing"
	"otterturn/internal/state/decay"
	"otterturn/internal/state/snapshot"
	"otterturn/internal/state/store"
	"otterturn/scheduler"
)

// exportBatch is how many entries are taken from the scheduler at a time, so that a large fleet doesn't make it pause.
const exportBatch = 50

// Settings are what a keeper is told.
type Settings struct {
	Front       string
	Interval    time.Duration // between two saves
	MinInterval time.Duration // and at the least, however low leases run
	Rules       scheduler.Settings
	Log         *slog.Logger
	Nodes       func() []snapshot.Node // the list as last told, with addresses
	Shutdown    time.Duration          // the last save may take so long
}

// Status is what operators are told of the saves.
type Status struct {
	Saves, Failures int64
	Last            time.Time     // of the last save that went well
	Took            time.Duration // it
	Bytes           int
	Error           string // of the last one, empty where it went well
}

// Saver saves one core's knowledge in one folder.
type Saver struct {
	set          Settings
	core         *routing.Core
	store        *store.Store
	fingerprint  uint64
	saveRequests chan chan error

	mu     sync.Mutex
	status Status
	count  uint64
}

// New returns a keeper.
func New(set Settings, core *routing.Core, s *store.Store) *Saver {
	return &Saver{set: set, core: core, store: s, fingerprint: snapshot.Fingerprint(set.Rules), saveRequests: make(chan chan error)}
}

// Restore hands the core what its former self learned, as far as it still counts. The core must not run yet. It
// returns the nodes of the last snapshot, as a hint.
func (k *Saver) Restore() []snapshot.Node {
	now := decay.Current{At: k.core.Now(), Front: k.set.Front, Settings: k.fingerprint, Fresh: k.core.NewNodeStats(), Nodes: k.set.Nodes()}
	found, notes := k.store.Load(func(s snapshot.Snapshot) error { return decay.Check(s, now) })
	for _, n := range notes {
		k.set.Log.Warn("snapshot rejected", "why", n)
	}
	if found == nil {
		return nil
	}
	k.count = found.Count + 1
	l := decay.Decay(found.Snapshot, now, found.Older)
	k.core.ImportLearned(listings(now.Nodes), l)
	age := time.Duration(now.At-found.Saved) * time.Microsecond
	k.set.Log.Info("learned state restored", "snapshot", found.Count, "nodes", len(l.Nodes), "projects", len(l.Volumes),
		"age", age.Round(time.Millisecond).String(), "previous", found.Older)
	return found.Nodes
}

func listings(nodes []snapshot.Node) scheduler.EndpointsChanged {
	out := scheduler.EndpointsChanged{Full: true}
	for _, n := range nodes {
		out.Endpoints = append(out.Endpoints, n.Endpoint)
	}
	return out
}

// Run saves until ctx ends. The first save is made at once: until then nothing may be drawn from the limits that
// were recalled.
func (k *Saver) Run(ctx context.Context) {
	var asked chan error
	for {
		soonest, next := time.NewTimer(k.set.MinInterval), time.NewTimer(k.set.Interval)
		err := k.save(ctx)
		if asked != nil {
			asked <- err
			asked = nil
		}
		select {
		case <-soonest.C:
		case <-ctx.Done():
			return
		}
		select {
		case <-next.C:
		case <-k.core.SaveRequested():
		case asked = <-k.saveRequests:
		case <-ctx.Done():
			return
		}
	}
}

// Save saves as soon as the pace allows, and tells how that went.
func (k *Saver) Save(ctx context.Context) error {
	done := make(chan error, 1)
	select {
	case k.saveRequests <- done:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Close makes the last save, once the core has ended: nothing is drawn any more, so no lease is needed.
func (k *Saver) Close() error {
	ctx, end := context.WithTimeout(context.Background(), k.set.Shutdown)
	defer end()
	snap, err := k.collect(ctx)
	if err != nil {
		return err
	}
	snap.Closed = true
	for i := range snap.Accounts {
		snap.Accounts[i].Bucket.Lease = 0
	}
	_, err = k.store.Save(snap)
	return err
}

func (k *Saver) save(ctx context.Context) error {
	began := time.Now()
	snap, err := k.collect(ctx)
	if err != nil {
		return err // the core has ended, or ctx
	}
	r, err := k.store.Save(snap)
	k.core.StateSaved(scheduler.StateSaved{Readable: r.There, Latest: r.Sure})
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.status.Error
	if err != nil {
		k.status.Failures++
		k.status.Error = err.Error()
		if before == "" {
			k.set.Log.Error("saving learned state failed", "error", err, "next_try_in", k.set.Interval.String())
		}
		return err
	}
	k.status.Saves++
	k.status.Last, k.status.Took, k.status.Bytes, k.status.Error = time.Now(), time.Since(began), r.Bytes, ""
	if before != "" {
		k.set.Log.Info("saving learned state recovered")
	}
	return nil
}

// collect takes what the core knows, part by part.
func (k *Saver) collect(ctx context.Context) (snapshot.Snapshot, error) {
	k.mu.Lock()
	snap := snapshot.Snapshot{Front: k.set.Front, Settings: k.fingerprint, Count: k.count}
	k.count++
	k.mu.Unlock()
	addrs := map[string]string{}
	for _, n := range k.set.Nodes() {
		addrs[n.Node] = n.Addr
	}
	for from := 0; ; {
		l, next, err := k.core.ExportLearned(ctx, from, exportBatch)
		if err != nil {
			return snapshot.Snapshot{}, fmt.Errorf("ask what is learned: %w", err)
		}
		for _, n := range l.Nodes {
			snap.Nodes = append(snap.Nodes, snapshot.Node{LearnedNode: n, Addr: addrs[n.Node]})
		}
		snap.Accounts = append(snap.Accounts, l.Volumes...)
		snap.Leads = append(snap.Leads, l.Flows...)
		snap.Saved = l.At
		if from = next; from == 0 {
			return snap, nil
		}
	}
}

// Status tells how the saves went.
func (k *Saver) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.status
}
