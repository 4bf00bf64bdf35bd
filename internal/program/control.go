package program

import (
	"context"

	"otterturn/internal/handover"
	"otterturn/internal/net/protocol"
	"otterturn/internal/net/routing"
)

// Ready reports whether this process serves clients.
func (p *platform) Ready() bool { return p.ready.Load() }

// Ban excludes a node until the ban ends, regardless of changes of the node list meanwhile. by is the operator's name. Ban
// returns false for an unknown node.
func (p *platform) Ban(node, by string) bool {
	known := p.changeBan("node banned", node, by, p.roster.Ban)
	if known {
		p.sendToOther(handover.KindBan, node, by)
	}
	return known
}

// EndBan ends the ban of a node. It returns false for an unknown node.
func (p *platform) EndBan(node, by string) bool {
	known := p.changeBan("node unbanned", node, by, p.roster.Unban)
	if known {
		p.sendToOther(handover.KindUnban, node, by)
	}
	return known
}

func (p *platform) changeBan(message, node, by string, apply func(node, by string) (protocol.List, bool)) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	change, known := apply(node, by)
	if known {
		p.applyNodes(change)
		p.log.Info(message, "node", node, "by", by)
	}
	return known
}

// Metrics returns the metrics of this process.
func (p *platform) Metrics() (protocol.Metrics, error) {
	ctx, cancel := context.WithTimeout(context.Background(), p.limits.Control.ReportTimeout)
	defer cancel()
	avoided, err := p.core.AvoidedNodes(ctx)
	if err != nil {
		return protocol.Metrics{}, err
	}
	sharedMetrics, err := p.healthMetrics(ctx)
	if err != nil {
		return protocol.Metrics{}, err
	}
	tally := p.core.Tally()
	out := protocol.Metrics{
		InFlight: tally.Open, Attempts: p.nodes.Attempts(), Excluded: avoided,
		ReloadsOK: p.reloads.Load(), ReloadsFailed: p.reloadsRejected.Load(), Health: sharedMetrics,
		Rules: protocol.RuleMetrics{
			EndedByShutdown: tally.EndedByShutdown, EndedOverdue: tally.EndedOverdue,
			AcceptErrors: p.front.AcceptErrors(), LogLinesDropped: p.lines.Dropped(),
		},
	}
	out.Resources = protocol.ResourceMetrics{
		RejectedHeads: p.front.RejectedHeads(), MemoryUsed: p.nodes.Memory().Used(), MemorySize: p.nodes.Memory().Size(),
	}
	for reason, count := range p.front.Evictions() {
		out.Resources.Evictions = append(out.Resources.Evictions, protocol.EvictionCount{Reason: reason.String(), Count: count})
	}
	for _, c := range p.guard.Counts() {
		out.Rules.Operations = append(out.Rules.Operations, protocol.RuleCount{
			Operation: c.Operation.String(), Denied: c.Denied, Violations: c.Violations,
		})
	}
	for i, name := range p.front.ClassNames() {
		ended := tally.Class(i)
		out.Classes = append(out.Classes, protocol.ClassCounts{
			Class: name, Served: ended[routing.Served],
			Rejected: ended[routing.Rejected], Failed: ended[routing.Failed],
		})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	out.Known = p.roster.Len()
	return out, nil
}
