// Package saver saves a front's learned state at regular intervals, and earlier if a volume's lease runs low, and restores it at
// the next start. Package decay decides which parts of it are still valid.
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

// exportBatch is how many entries are exported from the scheduler at a time, so that a save does not block it for long, even with
// a large fleet.
const exportBatch = 50

// Settings configure a Saver.
type Settings struct {
	Front       string
	Interval    time.Duration // time between two saves
	MinInterval time.Duration // minimum time between two saves, even if leases run low
	Rules       scheduler.Settings
	Log         *slog.Logger
	Nodes       func() []snapshot.Node // returns the current endpoint list, with addresses
	Shutdown    time.Duration          // timeout of the last save
}

// Status reports on the saves, for operators.
type Status struct {
	Saves, Failures int64
	Last            time.Time     // time of the last successful save
	Took            time.Duration // duration of the last successful save
	Bytes           int           // size of the last successful save
	Error           string        // of the last save, empty if it was successful
}

// Saver saves the learned state of one core in one folder.
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

// New returns a Saver. Call Restore, then Run.
func New(set Settings, core *routing.Core, s *store.Store) *Saver {
	return &Saver{set: set, core: core, store: s, fingerprint: snapshot.Fingerprint(set.Rules), saveRequests: make(chan chan error)}
}

// Restore imports into the core the parts of the last usable snapshot that are still valid. It must be called before the core
// runs. It returns all nodes of the snapshot, from which the caller can restore the state that operators set.
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

// Run saves until ctx ends. It makes the first save at once, because nothing may be drawn from restored token buckets before
// that.
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

// Save makes Run save as soon as MinInterval allows, and returns the result.
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

// Close makes the last save. It must be called after the core has ended: nothing is drawn any more, so the snapshot includes no
// leases.
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
		return err // the core or ctx has ended
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

// collect exports the core's learned state in parts.
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
			return snapshot.Snapshot{}, fmt.Errorf("export learned state: %w", err)
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

// Status returns the results of the saves so far.
func (k *Saver) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.status
}
