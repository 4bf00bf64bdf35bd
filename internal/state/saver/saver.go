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
	Front             string
	Interval          time.Duration // time between two saves
	MinInterval       time.Duration // minimum time between two saves, even if leases run low
	SchedulerSettings scheduler.Settings
	Log               *slog.Logger
	Nodes             func() []snapshot.Node // returns the current endpoint list, with addresses
	Shutdown          time.Duration          // timeout of the last save
}

// Status reports on the saves, for operators.
type Status struct {
	Saves, Failures int64
	Last            time.Time     // time of the last successful save
	LastDuration    time.Duration // duration of the last successful save; Bytes is its size
	Bytes           int
	Error           string // of the last save, empty if it was successful
}

// Saver saves the learned state of one core in one folder.
type Saver struct {
	settings     Settings
	core         *routing.Core
	store        *store.Store
	fingerprint  uint64
	saveRequests chan chan error

	mu     sync.Mutex
	status Status
	count  uint64
}

// New returns a Saver. Call Restore, then Run.
func New(settings Settings, core *routing.Core, s *store.Store) *Saver {
	return &Saver{
		settings: settings, core: core, store: s, fingerprint: snapshot.Fingerprint(settings.SchedulerSettings),
		saveRequests: make(chan chan error),
	}
}

// Restore imports into the core the parts of the last usable snapshot that are still valid. It must be called before the core
// runs. It returns all nodes of the snapshot, from which the caller can restore the state that operators set.
func (s *Saver) Restore() []snapshot.Node {
	now := decay.Current{
		At: s.core.Now(), Front: s.settings.Front, Settings: s.fingerprint, Fresh: s.core.NewNodeStats(),
		Nodes: s.settings.Nodes(),
	}
	found, notes := s.store.Load(func(snap snapshot.Snapshot) error { return decay.Check(snap, now) })
	for _, n := range notes {
		s.settings.Log.Warn("snapshot rejected", "why", n)
	}
	if found == nil {
		return nil
	}
	s.count = found.Count + 1
	l := decay.Decay(found.Snapshot, now, found.Older)
	s.core.ImportLearned(endpointList(now.Nodes), l)
	age := time.Duration(now.At-found.Saved) * time.Microsecond
	s.settings.Log.Info("learned state restored", "snapshot", found.Count, "nodes", len(l.Nodes), "projects", len(l.Volumes),
		"age", age.Round(time.Millisecond).String(), "previous", found.Older)
	return found.Nodes
}

func endpointList(nodes []snapshot.Node) scheduler.EndpointsChanged {
	out := scheduler.EndpointsChanged{Full: true}
	for _, n := range nodes {
		out.Endpoints = append(out.Endpoints, n.Endpoint)
	}
	return out
}

// Run saves until ctx ends. It makes the first save at once, because nothing may be drawn from restored token buckets before
// that.
func (s *Saver) Run(ctx context.Context) {
	var reply chan error
	for {
		minTimer, intervalTimer := time.NewTimer(s.settings.MinInterval), time.NewTimer(s.settings.Interval)
		err := s.save(ctx)
		if reply != nil {
			reply <- err
			reply = nil
		}
		select {
		case <-minTimer.C:
		case <-ctx.Done():
			return
		}
		select {
		case <-intervalTimer.C:
		case <-s.core.SaveRequested():
		case reply = <-s.saveRequests:
		case <-ctx.Done():
			return
		}
	}
}

// Save makes Run save as soon as MinInterval allows, and returns the result.
func (s *Saver) Save(ctx context.Context) error {
	done := make(chan error, 1)
	select {
	case s.saveRequests <- done:
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
func (s *Saver) Close() error {
	ctx, end := context.WithTimeout(context.Background(), s.settings.Shutdown)
	defer end()
	snap, err := s.collect(ctx)
	if err != nil {
		return err
	}
	snap.Closed = true
	for i := range snap.VolumeUsages {
		snap.VolumeUsages[i].Bucket.Lease = 0
	}
	_, err = s.store.Save(snap)
	return err
}

func (s *Saver) save(ctx context.Context) error {
	startedAt := time.Now()
	snap, err := s.collect(ctx)
	if err != nil {
		return err // the core or ctx has ended
	}
	result, err := s.store.Save(snap)
	s.core.StateSaved(scheduler.StateSaved{Readable: result.Loadable, Latest: result.Durable})
	s.mu.Lock()
	defer s.mu.Unlock()
	previousError := s.status.Error
	if err != nil {
		s.status.Failures++
		s.status.Error = err.Error()
		if previousError == "" {
			s.settings.Log.Error("saving learned state failed", "error", err, "next_try_in", s.settings.Interval.String())
		}
		return err
	}
	s.status.Saves++
	s.status.Last, s.status.LastDuration, s.status.Bytes, s.status.Error = time.Now(), time.Since(startedAt), result.Bytes, ""
	if previousError != "" {
		s.settings.Log.Info("saving learned state recovered")
	}
	return nil
}

// collect exports the core's learned state in parts.
func (s *Saver) collect(ctx context.Context) (snapshot.Snapshot, error) {
	s.mu.Lock()
	snap := snapshot.Snapshot{Front: s.settings.Front, Settings: s.fingerprint, Count: s.count}
	s.count++
	s.mu.Unlock()
	addrs := map[string]string{}
	for _, n := range s.settings.Nodes() {
		addrs[n.Node] = n.Addr
	}
	for from := 0; ; {
		l, next, err := s.core.ExportLearned(ctx, from, exportBatch)
		if err != nil {
			return snapshot.Snapshot{}, fmt.Errorf("export learned state: %w", err)
		}
		for _, n := range l.Nodes {
			snap.Nodes = append(snap.Nodes, snapshot.Node{LearnedNode: n, Addr: addrs[n.Node]})
		}
		snap.VolumeUsages = append(snap.VolumeUsages, l.Volumes...)
		snap.FlowLeads = append(snap.FlowLeads, l.Flows...)
		snap.Saved = l.At
		if from = next; from == 0 {
			return snap, nil
		}
	}
}

// Status returns the results of the saves so far.
func (s *Saver) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}
