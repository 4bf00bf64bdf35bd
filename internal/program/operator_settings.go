package program

import (
	"time"

	"otterturn/internal/limits"
	"otterturn/internal/net/protocol"
	files "otterturn/internal/net/protocol/sftp"
	"otterturn/internal/net/transport/sftp"
	"otterturn/scheduler"
)

// planIndex returns the index of a plan by its name, -1 if there is none.
func (o *Operator) planIndex(name string) int {
	for i, p := range o.Plans {
		if p.Name == name {
			return i
		}
	}
	return -1
}

// limits computes the limits of the appliance.
func (o *Operator) limits() limits.Limits {
	maxWait := time.Duration(0)
	for _, c := range o.Classes {
		maxWait = max(maxWait, c.Wait)
	}
	return limits.New(limits.Site{
		MemoryMB: o.Limits.MemoryMB, Sockets: o.Limits.Sockets, Open: o.Limits.Open,
		NodeIdleTimeout: o.Limits.NodeIdle, Connect: o.Limits.Connect, MaxDeadline: maxWait,
		TLS: o.HTTP.TLS || o.SFTP.TLS, Files: o.SFTP.Listen != "",
	})
}

// Settings returns the settings of the scheduler and of the HTTP front.
func (o *Operator) Settings() protocol.Settings {
	out := protocol.Settings{
		Classes: classNames, MaxOpen: o.Limits.Open, NodeIdleTimeout: o.Limits.NodeIdle,
		Connect: o.Limits.Connect, MaxRetryAfter: o.Limits.RetryAfter, Scheduler: scheduler.Settings{
			Fronts: 1, Tick: 2000, MeanUnits: 2, MaxUnits: maxUnits, MaxAttempts: o.Limits.Tries, HealthChecks: true, ServeLate: true,
			RetryAfter: true, MaxRetryAfter: scheduler.Micros(o.Limits.RetryAfter / time.Microsecond),
		},
	}
	if learned := o.Learned; learned.Folder != "" {
		out.Scheduler.Lease = scheduler.Micros(learned.Lease / time.Microsecond)
		out.Scheduler.RecordLifetime = scheduler.Micros(recordIntervals * learned.Interval / time.Microsecond)
	}
	writeIdempotency := scheduler.IdempotentByKey
	if o.Classes["write"].Repeat == "never" {
		writeIdempotency = scheduler.NotIdempotent
	}
	out.Scheduler.Classes = []scheduler.Class{
		o.schedulerClass("read", scheduler.Idempotent), o.schedulerClass("bulk-read", scheduler.Idempotent),
		o.schedulerClass("write", writeIdempotency), fileChangeClass: o.schedulerClass("write", scheduler.NotIdempotent),
	}
	for _, c := range o.Classes {
		out.MaxDeadline = max(out.MaxDeadline, c.Wait)
	}
	for _, n := range o.Nodes {
		out.Shards = max(out.Shards, n.Shard+1)
	}
	for _, p := range o.Plans {
		out.Plans = append(out.Plans, p.Name)
		out.Scheduler.Plans = append(out.Scheduler.Plans, scheduler.Plan{
			Reservation: p.Reservation, Weight: p.Weight,
			Limit: p.Limit, Burst: p.Burst,
		})
	}
	return out
}

// fileChangeClass is the scheduler's class of the SFTP front's changes. It has the settings of class write, but is never repeated: the
// operator's setting for repeats needs an idempotency key, which only HTTP has.
const fileChangeClass = 3

// schedulerClass returns the settings of one of the operator's classes.
func (o *Operator) schedulerClass(name string, idempotency scheduler.Idempotency) scheduler.Class {
	c := o.Classes[name]
	return scheduler.Class{
		LatencyObjective: scheduler.Micros(c.Within / time.Microsecond),
		Idempotency:      idempotency, DedupScope: scheduler.SameShard,
		DedupWindow: scheduler.Micros(c.Window / time.Microsecond), Priority: c.Worth,
	}
}

// sftpSite returns the settings of the SFTP front.
func (o *Operator) sftpSite() sftp.Site {
	out := sftp.Site{
		RetryAfter: o.Limits.RetryAfter,
		Sizes:      files.Sizes{UnitBytes: o.SFTP.UnitBytes, BulkBytes: o.SFTP.BulkBytes, MaxUnits: maxUnits},
	}
	for role, name := range classNames {
		out.Classes[role], out.TimeLimits[role] = role, o.Classes[name].Wait
	}
	out.Classes[files.RoleWrite] = fileChangeClass
	for _, p := range o.Projects {
		out.Projects = append(out.Projects, files.Project{
			Name: p.Name, Prefix: p.Prefix, Plan: o.planIndex(p.Plan),
			Shard: p.Shard,
		})
	}
	return out
}

// nodeList returns the operator's nodes as a full list, with the address that dial chooses for each node.
func (o *Operator) nodeList(dial func(sftp, http string) string) protocol.List {
	out := protocol.List{Full: true}
	for _, n := range o.Nodes {
		out.Hosts = append(out.Hosts, protocol.Host{
			Dial:     dial(n.SFTP, n.HTTP),
			Endpoint: scheduler.Endpoint{Node: n.Name, Shard: n.Shard},
		})
	}
	return out
}
