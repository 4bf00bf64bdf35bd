package program

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"otterturn/internal/net/protocol"
	"otterturn/internal/state/saver"
	"otterturn/internal/state/snapshot"
	"otterturn/internal/state/store"
	"otterturn/scheduler"
)

// Times of saving learned state.
const (
	minSaveInterval = 200 * time.Millisecond // minimum time between two saves, even when leases run out
	saveTimeout     = 10 * time.Second       // timeout of the last save at a shutdown and of a save at an operator's request
)

// forgetAll is the argument of forget for all nodes and projects.
const forgetAll = "all"

// restoreLearned opens the folder of the learned state, if one is configured, and restores the state that is still valid.
func (a *Appliance) restoreLearned() error {
	set := a.operator.Learned
	if set.Folder == "" {
		return nil
	}
	s, err := store.Open(set.Folder)
	if err != nil {
		return err
	}
	a.saver = saver.New(saver.Settings{
		Front: set.Front, Interval: set.Interval, MinInterval: minSaveInterval,
		Rules: a.operator.Settings().Scheduler, Log: a.log, Nodes: a.listing,
		Shutdown: saveTimeout,
	}, a.core, s)
	for _, n := range a.saver.Restore() {
		if n.State == scheduler.Draining && a.hasNode(n.Node) {
			a.drained[n.Node] = true
			a.log.Info("node drain restored", "node", n.Node)
		}
	}
	return nil
}

// runSaver saves the learned state at intervals until ctx ends.
func (a *Appliance) runSaver(ctx context.Context) {
	if a.saver != nil {
		a.saver.Run(ctx)
	}
}

// saveLast saves the final state. The core must have ended.
func (a *Appliance) saveLast() error {
	if a.saver == nil {
		return nil
	}
	if err := a.saver.Close(); err != nil {
		return fmt.Errorf("learned: last save failed: %w", err)
	}
	return nil
}

// listing returns the configured nodes with the addresses that identify them in a snapshot: both, separated by a space.
func (a *Appliance) listing() []snapshot.Node {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []snapshot.Node
	for _, h := range a.hosts(func(sftp, http string) string { return sftp + " " + http }).Hosts {
		out = append(out, snapshot.Node{LearnedNode: scheduler.LearnedNode{Endpoint: h.Endpoint}, Addr: strings.TrimSpace(h.Dial)})
	}
	return out
}

// hasNode reports whether a node is in the operator's file. The caller holds the lock, or nothing else runs yet.
func (a *Appliance) hasNode(node string) bool {
	return slices.ContainsFunc(a.listed.list(noAddress).Hosts, func(h protocol.Host) bool { return h.Node == node })
}

// learned saves the learned state and describes the saved snapshot.
func (a *Appliance) learned() (string, error) {
	if a.saver == nil {
		return "", errNotKept
	}
	ctx, end := context.WithTimeout(context.Background(), saveTimeout)
	defer end()
	failed := a.saver.Save(ctx)
	var out strings.Builder
	s := a.saver.Status()
	fmt.Fprintf(&out, "saves %d, failed %d; the last of %d bytes took %v\n", s.Saves, s.Failures, s.Bytes, s.Took.Round(time.Microsecond))
	snap, err := store.Read(a.operator.Learned.Folder, false)
	if err == nil {
		describe(&out, snap)
	}
	return out.String(), errors.Join(failed, err)
}

// forget deletes the learned state of a node, of a project or of all, and saves.
func (a *Appliance) forget(what []string) error {
	if a.saver == nil {
		return errNotKept
	}
	if err := checkForget(what); err != nil {
		return err
	}
	ctx, end := context.WithTimeout(context.Background(), saveTimeout)
	defer end()
	nodes, projects := []string{}, []string{}
	for _, n := range a.listing() {
		nodes = append(nodes, n.Node)
	}
	for _, p := range a.operator.Projects {
		projects = append(projects, p.Name)
	}
	known := false
	for _, n := range nodes {
		if what[0] == forgetAll || what[0] == "node" && what[1] == n {
			known = true
			if err := a.core.Forget(ctx, n, ""); err != nil {
				return err
			}
		}
	}
	for _, p := range projects {
		if what[0] == forgetAll || what[0] == "project" && what[1] == p {
			known = true
			if err := a.core.Forget(ctx, "", p); err != nil {
				return err
			}
		}
	}
	if !known {
		return fmt.Errorf("no %s %q", what[0], what[1])
	}
	return a.saver.Save(ctx)
}

// errNotKept is the error of commands on learned state without learned.folder.
var errNotKept = errors.New("learned state is not saved: learned.folder is not set")

func checkForget(what []string) error {
	if len(what) == 1 && what[0] == forgetAll || len(what) == 2 && (what[0] == "node" || what[0] == "project") {
		return nil
	}
	return errors.New("forget takes 'node NAME', 'project NAME' or 'all'")
}
