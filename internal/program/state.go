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

// Bounds of saving.
const (
	minSaveInterval = 200 * time.Millisecond // between two saves, however low leases run
	saveTimeout     = 10 * time.Second       // the last one at a stop, and one that an operator asks for
)

// forgetAll is the word for everything.
const forgetAll = "all"

// restoreLearned opens the folder of what is learned, if there is to be one, and hands the core what still counts.
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

// runSaver saves until ctx ends.
func (a *Appliance) runSaver(ctx context.Context) {
	if a.saver != nil {
		a.saver.Run(ctx)
	}
}

// saveLast makes the last save, once the core has ended.
func (a *Appliance) saveLast() error {
	if a.saver == nil {
		return nil
	}
	if err := a.saver.Close(); err != nil {
		return fmt.Errorf("learned: the last save: %w", err)
	}
	return nil
}

// listing is the node list as the operator has it, with the addresses that nodes are learned under.
func (a *Appliance) listing() []snapshot.Node {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []snapshot.Node
	for _, h := range a.hosts(func(sftp, http string) string { return sftp + " " + http }).Hosts {
		out = append(out, snapshot.Node{LearnedNode: scheduler.LearnedNode{Endpoint: h.Endpoint}, Addr: strings.TrimSpace(h.Dial)})
	}
	return out
}

// hasNode tells whether a node is in the operator's file.
func (a *Appliance) hasNode(node string) bool {
	return slices.ContainsFunc(a.listed.list(noAddress).Hosts, func(h protocol.Host) bool { return h.Node == node })
}

// learned saves, and shows what the folder holds then.
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

// forget drops what was learned of a node, of a project or of all, and saves.
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

// errNotKept tells that the operator's file names no folder.
var errNotKept = errors.New("nothing is kept: learned.folder is not set")

func checkForget(what []string) error {
	if len(what) == 1 && what[0] == forgetAll || len(what) == 2 && (what[0] == "node" || what[0] == "project") {
		return nil
	}
	return errors.New("forget takes 'node NAME', 'project NAME' or 'all'")
}
