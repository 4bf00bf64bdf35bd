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

// RunStateCommand carries out an operator's command on the saved state: show, check or forget. If an appliance uses the folder, show
// and forget are sent to its console.
func RunStateCommand(path string, words []string, out io.Writer) error {
	operator, err := LoadOperator(path)
	if err != nil {
		return err
	}
	folder := operator.Learned.Folder
	switch {
	case folder == "":
		return fmt.Errorf("%s: %w", path, errNoFolder)
	case len(words) == 0:
		return errors.New("state: command missing, must be 'show', 'check' or 'forget'")
	case words[0] == "check" && len(words) == 1:
		return checkSnapshots(operator, out)
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
		writeSnapshot(out, snap)
		return nil
	case words[0] == "forget":
		return forgetOffline(s, folder, words[1:])
	}
	return fmt.Errorf("state: unknown command %q, must be 'show', 'check' or 'forget'", strings.Join(words, " "))
}

// checkSnapshots reports for each snapshot in the folder whether a start would use it. It returns an error if one is unusable.
func checkSnapshots(operator Operator, out io.Writer) error {
	current := decay.Current{
		At: scheduler.Micros(time.Now().UnixMicro()), Front: operator.Learned.Front,
		Settings: snapshot.Fingerprint(operator.Settings().Scheduler),
	}
	var unusable error
	for i, name := range []string{"the last one", "the one before"} {
		snap, err := store.Read(operator.Learned.Folder, i > 0)
		if errors.Is(err, fs.ErrNotExist) {
			fmt.Fprintf(out, "%s: none\n", name)
			continue
		}
		if err == nil {
			err = decay.Check(snap, current)
		}
		if err != nil {
			unusable = errors.Join(unusable, fmt.Errorf("%s: %w", name, err))
			continue
		}
		fmt.Fprintf(out, "%s: whole, %d nodes, %d projects, saved %v ago\n", name, len(snap.Nodes), len(snap.VolumeUsages),
			snapshotAge(snap, time.Now()))
	}
	aside, err := store.Aside(operator.Learned.Folder)
	for _, name := range aside {
		fmt.Fprintf(out, "set aside: %s\n", name)
	}
	return errors.Join(unusable, err)
}

// forgetOffline deletes the state of a node, of a project or of all from both generations in the folder. No appliance runs.
func forgetOffline(s *store.Store, folder string, arguments []string) error {
	if err := checkForget(arguments); err != nil {
		return err
	}
	snap, err := store.Read(folder, false)
	if err != nil {
		return err
	}
	all, found := arguments[0] == forgetAll, arguments[0] == forgetAll
	matches := func(kind, name string) bool {
		match := all || arguments[0] == kind && arguments[1] == name
		found = found || match
		return match
	}
	snap.Nodes = slices.DeleteFunc(snap.Nodes, func(n snapshot.Node) bool { return matches("node", n.Node) })
	snap.VolumeUsages = slices.DeleteFunc(snap.VolumeUsages, func(a scheduler.VolumeUsage) bool { return matches("project", a.Volume) })
	snap.FlowLeads = slices.DeleteFunc(snap.FlowLeads, func(l scheduler.FlowLead) bool { return matches("project", l.Volume) })
	if !found {
		return fmt.Errorf("nothing is kept of a %s %q", arguments[0], arguments[1])
	}
	for range 2 { // the second save replaces the previous generation as well
		if _, err := s.Save(snap); err != nil {
			return err
		}
	}
	return nil
}

func snapshotAge(s snapshot.Snapshot, now time.Time) time.Duration {
	return now.Sub(time.UnixMicro(int64(s.Saved))).Round(time.Millisecond)
}

// writeSnapshot writes a snapshot as text. Latencies are in milliseconds, budgets and tokens in units.
func writeSnapshot(out io.Writer, s snapshot.Snapshot) {
	fmt.Fprintf(out, "front %s, saved %s, %v ago, after %d others%s\n", s.Front,
		time.UnixMicro(int64(s.Saved)).UTC().Format(time.RFC3339), snapshotAge(s, time.Now()), s.Count,
		map[bool]string{true: ", at its end"}[s.Closed])
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(s.Nodes) > 0 {
		fmt.Fprintln(w, "node\tshard\tstate\taddress\tusual\ttarget\tbudget\terrors\tlast heard")
	}
	states := map[scheduler.NodeState]string{scheduler.Running: "running", scheduler.Draining: "draining", scheduler.Removed: "gone"}
	for _, n := range s.Nodes {
		lastAnswer := "never"
		if n.LastAnswer > 0 {
			lastAnswer = (time.Duration(s.Saved-n.LastAnswer) * time.Microsecond).Round(time.Millisecond).String() + " before"
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%.1f ms\t%.1f ms\t%.1f\t%.0f%%\t%s\n", n.Node, n.Shard, states[n.State], n.Addr,
			n.SmoothedLatency/1000, n.Target/1000, n.Budget, 100*n.ErrorRate, lastAnswer)
	}
	if len(s.VolumeUsages) > 0 {
		fmt.Fprintln(w, "project\tlimit's store\tof it leased")
	}
	for _, a := range s.VolumeUsages {
		if a.Bucket.At == 0 {
			fmt.Fprintf(w, "%s\tno limit\t\n", a.Volume)
			continue
		}
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\n", a.Volume, a.Bucket.Level, a.Bucket.Lease)
	}
	w.Flush()
}
