package program

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"otterturn/internal/state/decay"
	"otterturn/internal/state/snapshot"
	"otterturn/internal/state/store"
	"otterturn/scheduler"
)

// Kept carries out an operator's command on the saved state: show, check or forget. If an appliance uses the folder, show
// and forget are sent to its console.
func Kept(path string, words []string, out io.Writer) error {
	o, err := LoadOperator(path)
	if err != nil {
		return err
	}
	folder := o.Learned.Folder
	switch {
	case folder == "":
		return fmt.Errorf("%s: %w", path, errNotKept)
	case len(words) == 0:
		return errors.New("state: command missing, must be 'show', 'check' or 'forget'")
	case words[0] == "check" && len(words) == 1:
		return check(o, out)
	}
	s, err := store.Open(folder)
	if errors.Is(err, store.ErrTaken) {
		if words[0] == "show" {
			return Console(path, []string{"learned"}, nil, out)
		}
		return Console(path, words, nil, out)
	}
	if err != nil {
		return err
	}
	defer s.Close()
	switch {
	case words[0] == "show" && len(words) == 1:
		snap, err := store.Read(folder, false)
		if err != nil {
			return err
		}
		describe(out, snap)
		return nil
	case words[0] == "forget":
		return forgetStopped(s, folder, words[1:])
	}
	return fmt.Errorf("state: unknown command %q, must be 'show', 'check' or 'forget'", strings.Join(words, " "))
}

// check reports for each snapshot in the folder whether a start would use it. It returns an error if one is unusable.
func check(o Operator, out io.Writer) error {
	now := decay.Current{
		At: scheduler.Micros(time.Now().UnixMicro()), Front: o.Learned.Front,
		Settings: snapshot.Fingerprint(o.Settings().Scheduler),
	}
	var failed error
	for i, name := range []string{"the last one", "the one before"} {
		snap, err := store.Read(o.Learned.Folder, i > 0)
		if errors.Is(err, fs.ErrNotExist) {
			fmt.Fprintf(out, "%s: none\n", name)
			continue
		}
		if err == nil {
			err = decay.Check(snap, now)
		}
		if err != nil {
			failed = errors.Join(failed, fmt.Errorf("%s: %w", name, err))
			continue
		}
		fmt.Fprintf(out, "%s: whole, %d nodes, %d projects, saved %v ago\n", name, len(snap.Nodes), len(snap.Accounts),
			ago(snap, time.Now()))
	}
	aside, err := store.Aside(o.Learned.Folder)
	for _, name := range aside {
		fmt.Fprintf(out, "set aside: %s\n", name)
	}
	return errors.Join(failed, err)
}

// forgetStopped deletes the state of a node, of a project or of all from both generations in the folder. No appliance runs.
func forgetStopped(s *store.Store, folder string, what []string) error {
	if err := checkForget(what); err != nil {
		return err
	}
	snap, err := store.Read(folder, false)
	if err != nil {
		return err
	}
	all, known := what[0] == forgetAll, what[0] == forgetAll
	drop := func(kind, name string) bool {
		hit := all || what[0] == kind && what[1] == name
		known = known || hit
		return hit
	}
	snap.Nodes = slices.DeleteFunc(snap.Nodes, func(n snapshot.Node) bool { return drop("node", n.Node) })
	snap.Accounts = slices.DeleteFunc(snap.Accounts, func(a scheduler.VolumeUsage) bool { return drop("project", a.Volume) })
	snap.Leads = slices.DeleteFunc(snap.Leads, func(l scheduler.FlowLead) bool { return drop("project", l.Volume) })
	if !known {
		return fmt.Errorf("nothing is kept of a %s %q", what[0], what[1])
	}
	for range 2 { // the second save replaces the previous generation as well
		if _, err := s.Save(snap); err != nil {
			return err
		}
	}
	return nil
}

func ago(s snapshot.Snapshot, now time.Time) time.Duration {
	return now.Sub(time.UnixMicro(int64(s.Saved))).Round(time.Millisecond)
}

// describe writes a snapshot as text. Latencies are in milliseconds, budgets and tokens in units.
func describe(out io.Writer, s snapshot.Snapshot) {
	fmt.Fprintf(out, "front %s, saved %s, %v ago, after %d others%s\n", s.Front,
		time.UnixMicro(int64(s.Saved)).UTC().Format(time.RFC3339), ago(s, time.Now()), s.Count,
		map[bool]string{true: ", at its end"}[s.Closed])
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(s.Nodes) > 0 {
		fmt.Fprintln(w, "node\tshard\tstate\taddress\tusual\ttarget\tbudget\terrors\tlast heard")
	}
	states := map[scheduler.NodeState]string{scheduler.Running: "running", scheduler.Draining: "draining", scheduler.Removed: "gone"}
	for _, n := range s.Nodes {
		heard := "never"
		if n.LastAnswer > 0 {
			heard = (time.Duration(s.Saved-n.LastAnswer) * time.Microsecond).Round(time.Millisecond).String() + " before"
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%.1f ms\t%.1f ms\t%.1f\t%.0f%%\t%s\n", n.Node, n.Shard, states[n.State], n.Addr,
			n.SmoothedLatency/1000, n.Target/1000, n.Budget, 100*n.ErrorRate, heard)
	}
	if len(s.Accounts) > 0 {
		fmt.Fprintln(w, "project\tlimit's store\tof it leased")
	}
	for _, a := range s.Accounts {
		if a.Bucket.At == 0 {
			fmt.Fprintf(w, "%s\tno limit\t\n", a.Volume)
			continue
		}
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\n", a.Volume, a.Bucket.Level, a.Bucket.Lease)
	}
	w.Flush()
}
