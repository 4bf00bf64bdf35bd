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
	minSaveInterval = 200 * time.Millisecond // minimum time between two saves, even when leases run low
	saveTimeout     = 10 * time.Second       // timeout of the last save at a shutdown and of a save at an operator's request
)

// forgetAll is the argument of forget for all nodes and projects.
const forgetAll = "all"

// restoreLearned opens the folder of the learned state, if one is configured, and restores the state that is still valid.
func (a *Appliance) restoreLearned() error {
	settings := a.operator.Learned
	if settings.Folder == "" {
		return nil
	}
	folder, err := store.Open(settings.Folder)
	if err != nil {
		return err
	}
	a.saver = saver.New(saver.Settings{
		Front: settings.Front, Interval: settings.Interval, MinInterval: minSaveInterval,
		SchedulerSettings: a.operator.Settings().Scheduler, Log: a.log, Nodes: a.snapshotNodes,
		Shutdown: saveTimeout,
	}, a.core, folder)
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

// saveFinal saves the final state. The core must have ended.
func (a *Appliance) saveFinal() error {
	if a.saver == nil {
		return nil
	}
	if err := a.saver.Close(); err != nil {
		return fmt.Errorf("learned: last save failed: %w", err)
	}
	return nil
}

// snapshotNodes returns the configured nodes with the addresses that identify them in a snapshot: both, separated by a space.
func (a *Appliance) snapshotNodes() []snapshot.Node {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []snapshot.Node
	for _, h := range a.currentNodeList(func(sftp, http string) string { return sftp + " " + http }).Hosts {
		out = append(out, snapshot.Node{LearnedNode: scheduler.LearnedNode{Endpoint: h.Endpoint}, Addr: strings.TrimSpace(h.Dial)})
	}
	return out
}

// hasNode reports whether a node is in the operator's file. The caller holds the lock, or nothing else runs yet.
func (a *Appliance) hasNode(node string) bool {
	return slices.ContainsFunc(a.lastRead.nodeList(noAddress).Hosts, func(h protocol.Host) bool { return h.Node == node })
}

// saveAndDescribe saves the learned state and describes the saved snapshot.
func (a *Appliance) saveAndDescribe() (string, error) {
	if a.saver == nil {
		return "", errNoFolder
	}
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	saveErr := a.saver.Save(ctx)
	var out strings.Builder
	status := a.saver.Status()
	fmt.Fprintf(&out, "saves %d, failed %d; the last of %d bytes took %v\n",
		status.Saves, status.Failures, status.Bytes, status.LastDuration.Round(time.Microsecond))
	snap, err := store.Read(a.operator.Learned.Folder, false)
	if err == nil {
		writeSnapshot(&out, snap)
	}
	return out.String(), errors.Join(saveErr, err)
}

// forget deletes the learned state of a node, of a project or of all, and saves.
func (a *Appliance) forget(arguments []string) error {
	if a.saver == nil {
		return errNoFolder
	}
	if err := checkForget(arguments); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	nodes, projects := []string{}, []string{}
	for _, n := range a.snapshotNodes() {
		nodes = append(nodes, n.Node)
	}
	for _, p := range a.operator.Projects {
		projects = append(projects, p.Name)
	}
	found := false
	for _, n := range nodes {
		if arguments[0] == forgetAll || arguments[0] == "node" && arguments[1] == n {
			found = true
			if err := a.core.Forget(ctx, n, ""); err != nil {
				return err
			}
		}
	}
	for _, p := range projects {
		if arguments[0] == forgetAll || arguments[0] == "project" && arguments[1] == p {
			found = true
			if err := a.core.Forget(ctx, "", p); err != nil {
				return err
			}
		}
	}
	if !found {
		return fmt.Errorf("no %s %q", arguments[0], arguments[1])
	}
	return a.saver.Save(ctx)
}

// errNoFolder is the error of commands on learned state without learned.folder.
var errNoFolder = errors.New("learned state is not saved: learned.folder is not set")

func checkForget(arguments []string) error {
	if len(arguments) == 1 && arguments[0] == forgetAll || len(arguments) == 2 && (arguments[0] == "node" || arguments[0] == "project") {
		return nil
	}
	return errors.New("forget takes 'node NAME', 'project NAME' or 'all'")
}
