package program

import (
	"context"

	"otterturn/internal/handover"
	"otterturn/internal/net/protocol"
	"otterturn/internal/net/routing"
)

// Ready reports whether this process serves clients.
func (p *platform) Ready() bool { return p.ready.Load() }

// Ban excludes a node until the ban is lifted, regardless of changes of the node list meanwhile. by names the operator. It
// returns false for an unknown node.
func (p *platform) Ban(node, by string) bool {
	known := p.byHand("node banned", node, by, p.roster.Ban)
	if known {
		p.sendToOther(handover.KindBan, node, by)
	}
	return known
}

// Lift ends the ban of a node. It returns false for an unknown node.
func (p *platform) Lift(node, by string) bool {
	known := p.byHand("node unbanned", node, by, p.roster.Unban)
	if known {
		p.sendToOther(handover.KindUnban, node, by)
	}
	return known
}

func (p *platform) byHand(what, node, by string, do func(node, by string) (protocol.List, bool)) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	change, known := do(node, by)
	if known {
		p.tell(change)
		p.log.Info(what, "node", node, "by", by)
	}
	return known
}

// Figures returns the metrics of this process.
func (p *platform) Figures() (protocol.Figures, error) {
	ctx, end := context.WithTimeout(context.Background(), p.limits.Control.ReportTimeout)
	defer end()
	avoided, err := p.core.AvoidedNodes(ctx)
	if err != nil {
		return protocol.Figures{}, err
	}
	shared, err := p.healthFigures(ctx)
	if err != nil {
		return protocol.Figures{}, err
	}
	t := p.core.Tally()
	out := protocol.Figures{
		InFlight: t.Open, Attempts: p.nodes.Attempts(), Excluded: avoided,
		ReloadsOK: p.reloads.Load(), ReloadsFailed: p.reloadsRejected.Load(), Health: shared,
		Rules: protocol.RuleFigures{
			EndedByShutdown: t.EndedByShutdown, EndedOverdue: t.EndedOverdue, AcceptErrors: p.front.AcceptErrors(), LogLinesDropped: p.lines.Dropped(),
		},
	}
	for _, c := range p.guard.Counts() {
		out.Rules.Operations = append(out.Rules.Operations, protocol.RuleCount{Operation: c.Operation.String(), Denied: c.Denied, Violations: c.Violations})
	}
	for i, name := range p.front.ClassNames() {
		ended := t.Class(i)
		out.Classes = append(out.Classes, protocol.Ended{
			Class: name, Served: ended[routing.Served],
			Refused: ended[routing.Rejected], Failed: ended[routing.Failed],
		})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	out.Known = p.roster.Len()
	return out, nil
}
