package program

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"otterturn/internal/net/protocol"
	"otterturn/internal/state/keeper"
	"otterturn/internal/state/snapshot"
	"otterturn/internal/state/store"
	"otterturn/scheduler"
)

// Bounds of saving.
const (
	saveLeast = 200 * time.Millisecond // between two saves, however low leases run
	saveLast  = 10 * time.Second       // the last one at a stop, and one that an operator asks for
)

// forgetAll is the word for everything.
const forgetAll = "all"

// recall opens the folder of what is learned, if there is to be one, and hands the core what still counts.
func (a *Appliance) recall() error {
	set := a.operator.Learned
	if set.Folder == "" {
		return nil
	}
	s, err := store.Open(set.Folder)
	if err != nil {
		return err
	}
	a.keeper = keeper.New(keeper.Settings{Front: set.Front, Every: set.Interval, Least: saveLeast,
		Rules: a.operator.Settings().Scheduler, Log: a.log, Nodes: a.listing,
		Shutdown: saveLast}, a.core, s)
	for _, n := range a.keeper.Recall() {
		if n.State == scheduler.Draining && a.knows(n.Node) {
			a.drained[n.Node] = true
			a.log.Info("a node still drains, as the operator had it", "node", n.Node)
		}
	}
	return nil
}

// keep saves until ctx ends.
func (a *Appliance) keep(ctx context.Context) {
	if a.keeper != nil {
		a.keeper.Run(ctx)
	}
}

// keepLast makes the last save, once the core has ended.
func (a *Appliance) keepLast() error {
	if a.keeper == nil {
		return nil
	}
	if err := a.keeper.Close(); err != nil {
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

// knows tells whether a node is in the operator's file.
func (a *Appliance) knows(node string) bool {
	return slices.ContainsFunc(a.listed.list(noAddress).Hosts, func(h protocol.Host) bool { return h.Node == node })
}

// learned saves, and shows what the folder holds then.
func (a *Appliance) learned() (string, error) {
	if a.keeper == nil {
		return "", errNotKept
	}
	ctx, end := context.WithTimeout(context.Background(), saveLast)
	defer end()
	failed := a.keeper.Save(ctx)
	var out strings.Builder
	s := a.keeper.Status()
	fmt.Fprintf(&out, "saves %d, failed %d; the last of %d bytes took %v\n", s.Saves, s.Failures, s.Bytes, s.Took.Round(time.Microsecond))
	snap, err := store.Read(a.operator.Learned.Folder, false)
	if err == nil {
		describe(&out, snap)
	}
	return out.String(), errors.Join(failed, err)
}

// forget drops what was learned of a node, of a project or of all, and saves.
func (a *Appliance) forget(what []string) error {
	if a.keeper == nil {
		return errNotKept
	}
	if err := checkForget(what); err != nil {
		return err
	}
	ctx, end := context.WithTimeout(context.Background(), saveLast)
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
	return a.keeper.Save(ctx)
}

// errNotKept tells that the operator's file names no folder.
var errNotKept = errors.New("nothing is kept: learned.folder is not set")

func checkForget(what []string) error {
	if len(what) == 1 && what[0] == forgetAll || len(what) == 2 && (what[0] == "node" || what[0] == "project") {
		return nil
	}
	return errors.New("forget takes 'node NAME', 'project NAME' or 'all'")
}
