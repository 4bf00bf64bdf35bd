package program

import (
	"context"
	"fmt"
	"strings"

	"otterturn/internal/changes"
	"otterturn/internal/net/transport/sftp"
	"otterturn/internal/state/changestore"
)

// startFiles starts the SFTP front, with the changes that the previous process had in progress.
func (a *Appliance) startFiles(context.Context) error {
	config := a.operator.SFTP
	if config.Listen == "" {
		return nil
	}
	a.files = sftp.NewFront(a.operator.sftpSite(), a.limits, a.core, a.client.Attempt, a.nodes.Memory())
	if config.Changes != "" {
		store, err := changestore.Open(config.Changes, a.log)
		if err == nil {
			a.changes = store
			err = a.files.UseStore(store)
		}
		if err != nil {
			return fmt.Errorf("sftp.changes: %w", err)
		}
	}
	return a.serve("sftp.listen", config.Listen, a.withTLS(config.TLS, a.files.Serve), a.files.Stop)
}

func (a *Appliance) closeChangeStore() error {
	if a.changes == nil {
		return nil
	}
	return a.changes.Close()
}

// describeUnsettled lists the changes that a node may still carry out, one a line.
func (a *Appliance) describeUnsettled() string {
	if a.files == nil {
		return ""
	}
	var out strings.Builder
	for _, e := range a.files.Unsettled() {
		fmt.Fprintf(&out, "%d project %s node %s", e.Ticket, e.Group, e.Node)
		if e.Change.Content {
			fmt.Fprintf(&out, " bytes %d to %d", e.Change.From, e.Change.To)
		}
		if e.Change.Subtree {
			out.WriteString(" with all below")
		}
		for _, path := range e.Change.Paths {
			fmt.Fprintf(&out, " %q", path)
		}
		out.WriteString("\n")
	}
	return out.String()
}

// settle ends unsettled changes: all, those of a node, or the one with a number.
func (a *Appliance) settle(c settleCommand) (string, error) {
	if a.files == nil {
		return "", fmt.Errorf("no SFTP front")
	}
	settled := a.files.Settle(func(e changes.Entry) bool {
		switch {
		case c.Node != "":
			return e.Node == c.Node
		case c.All:
			return true
		}
		return e.Ticket == changes.Ticket(c.Number)
	})
	if settled == 0 {
		return "", fmt.Errorf("no such unsettled change")
	}
	a.log.Info("changes settled by an operator", "changes", settled)
	return fmt.Sprintf("settled %d", settled), nil
}
