package scheduler

import (
	"slices"

	"otterturn/scheduler/tokenbucket"
)

// ExportLearned returns the learned state in parts of up to limit entries, so that a caller can handle events in between.
// It returns the part that starts at an index, 0 at first, and the next index, 0 after the last part. Volumes and nodes
// that come or go meanwhile may be missing or occur twice. A missing volume may draw no more than its lease.
func (s *Scheduler) ExportLearned(now Micros, from, limit int) (part Learned, next int) {
	s.now = max(s.now, now)
	part = Learned{At: s.now}
	nodes, volumes, flows := len(s.nodes), s.volumes.Len(), s.flows.Len()
	end := min(from+limit, nodes+volumes+flows)
	for i := from; i < end; i++ {
		switch {
		case i < nodes:
			part.Nodes = append(part.Nodes, s.nodes[i].learned())
		case i < nodes+volumes:
			part.Volumes = s.appendUsage(part.Volumes, s.volumes.At(i-nodes))
		default:
			part.Flows = s.flows.At(i-nodes-volumes).appendLead(part.Flows, s.now)
		}
	}
	if end == nodes+volumes+flows {
		return part, 0
	}
	return part, end
}

// learned returns a copy of the learned state of a node.
func (n *node) learned() LearnedNode {
	out := LearnedNode{n.Endpoint, n.NodeStats}
	out.Curve = slices.Clone(out.Curve)
	return out
}

// usage returns the usage of a volume, without its bucket.
func (v *volume) usage() VolumeUsage {
	return VolumeUsage{Volume: v.name, Plan: v.planIndex, Fronts: v.fronts, ReservationTag: v.reservationTag}
}

// appendUsage appends the usage of a volume, unless a new volume would have the same state.
func (s *Scheduler) appendUsage(out []VolumeUsage, v *volume) []VolumeUsage {
	s.refill(v)
	if s.volumeIdle(v, s.now) {
		return out
	}
	usage := v.usage()
	if v.plan.Limit > 0 {
		usage.Bucket = v.bucket.Record(s.lease(v), s.settings.RecordLifetime)
	}
	return append(out, usage)
}

// lease returns the units that a volume may draw before the next record: at least one request of maximum size.
func (s *Scheduler) lease(v *volume) float64 {
	return v.limitRate()*float64(s.settings.Lease) + s.settings.MaxUnits
}

// appendLead appends the lead of a flow's weight tag over the shard's virtual time, if it has one that still counts.
func (f *flow) appendLead(out []FlowLead, now Micros) []FlowLead {
	ahead := f.weightTag - f.shard.virtualTime
	if ahead <= 0 || now > f.lastSentAt+curvePoints*slowInterval {
		return out
	}
	lead := FlowLead{Volume: f.volume.name, Plan: f.volume.planIndex, Shard: f.shard.id, Units: ahead, LastSend: f.lastSentAt}
	return append(out, lead)
}

// stateSaved handles the result of the last SaveState.
func (s *Scheduler) stateSaved(e StateSaved) {
	for i := range s.volumes.Len() {
		s.volumes.At(i).bucket.RecordSaved(e.Readable, e.Latest)
	}
}

// Forget drops what was learned of a node or a volume, at an operator's request. An empty name means none. The
// limit's bucket of the volume is emptied: otherwise the volume could draw again what it has drawn already.
func (s *Scheduler) Forget(node, volume string) {
	if n := s.nodesByName[node]; n != nil {
		s.work.Queue(&n.work)
		suspected := n.SuspectedRestart
		n.NodeStats = s.NewNodeStats()
		n.SuspectedRestart = suspected
	}
	v, found := s.volumes.Get(volume)
	if !found {
		return
	}
	v.reservationTag = 0
	v.bucket.Level = 0
	for _, sh := range s.shards {
		if f, found := s.flows.Get(flowKey{sh, v}); found {
			f.weightTag = sh.virtualTime
		}
	}
}

// ImportLearned takes over what a former process learned, before the first request. Nodes must be in the endpoint list
// with the same start; others are ignored. Budgets are taken over unchanged: the caller must make sure that no node gets
// a larger budget than an unknown one.
func (s *Scheduler) ImportLearned(now Micros, l Learned) {
	s.now = max(s.now, now)
	s.startedAt = max(s.startedAt, now)
	for _, learned := range l.Nodes {
		s.importNode(learned)
	}
	for _, usage := range l.Volumes {
		if s.hasPlan(usage.Plan) {
			s.importVolume(usage)
		}
	}
	for _, lead := range l.Flows {
		if s.hasPlan(lead.Plan) {
			s.importFlow(lead)
		}
	}
}

func (s *Scheduler) hasPlan(index int) bool { return index >= 0 && index < len(s.settings.Plans) }

func (s *Scheduler) importNode(learned LearnedNode) {
	n := s.nodesByName[learned.Node]
	if n == nil || n.StartedAt != learned.StartedAt {
		return
	}
	s.work.Queue(&n.work)
	n.NodeStats = learned.NodeStats
	n.Curve = slices.Clone(n.Curve)
}

func (s *Scheduler) importVolume(usage VolumeUsage) {
	v := s.volumeFor(Request{Volume: usage.Volume, Plan: usage.Plan, Fronts: int(usage.Fronts)})
	v.reservationTag = usage.ReservationTag
	if v.plan.Limit > 0 {
		v.bucket = tokenbucket.Recovered(usage.Bucket, s.now, v.limitRate(), v.plan.Burst/v.fronts)
	}
}

func (s *Scheduler) importFlow(lead FlowLead) {
	sh := s.shardFor(lead.Shard)
	f := s.flowFor(sh, s.volumeFor(Request{Volume: lead.Volume, Plan: lead.Plan}))
	f.weightTag = sh.virtualTime + lead.Units
	f.lastSentAt = lead.LastSend
}
