package program

import (
	"fmt"
	"log/slog"
	"net/url"
	"regexp"
	"slices"
	"time"

	files "otterturn/internal/net/protocol/sftp"
)

// validate checks the settings. Its error names the first invalid field.
func (o *Operator) validate() error {
	l := o.Limits
	problem := ""
	must := func(ok bool, format string, args ...any) {
		if !ok && problem == "" {
			problem = fmt.Sprintf(format, args...)
		}
	}
	must(l.MemoryMB > 0 && l.Sockets > 0 && l.Open > 0 && l.Tries > 0,
		"limits: memory_mb, sockets, open and tries must be above 0")
	must(l.Connect > 0 && l.NodeIdle > 0 && l.RetryAfter > 0,
		"limits: connect, node_idle and retry_after must be durations above 0")
	door := o.Door
	must(door.Room >= 0 && door.Waiting >= 0 && door.Patience >= 0, "door: room, waiting and patience must not be below 0")
	must(door.Room == 0 || door.Waiting > 0 && door.Patience > 0, "door: waiting and patience must be above 0 if room is above 0")
	must(door.Room == 0 || door.Room+door.Waiting <= l.Open, "door: room and waiting must not exceed limits.open in total")
	must(o.Log.Level == "" || new(slog.Level).UnmarshalText([]byte(o.Log.Level)) == nil,
		"log.level: %q is not one of debug, info, warn, error", o.Log.Level)
	must(o.SFTP.Listen != "" || o.HTTP.Listen != "", "sftp.listen, http.listen: at least one must be set")
	must(o.SFTP.Listen == "" || isAddress(o.SFTP.Listen), "sftp.listen: %q is not an IP address with a port", o.SFTP.Listen)
	must(o.SFTP.Listen == "" || o.SFTP.UnitBytes > 0 && o.SFTP.BulkBytes > 0,
		"sftp: unit_bytes and bulk_bytes must be above 0")
	must(o.SFTP.Changes == "" || o.SFTP.Listen != "", "sftp.changes: set, but sftp.listen is missing")
	must(o.HTTP.Listen == "" || isAddress(o.HTTP.Listen), "http.listen: %q is not an IP address with a port", o.HTTP.Listen)
	o.validateCertificates(must)
	if learned := o.Learned; learned.Folder != "" {
		must(learned.Front != "", "learned.front: missing")
		must(learned.Interval >= 500*time.Millisecond && learned.Interval <= time.Minute, "learned.interval: must be 500ms to 1m")
		must(learned.Lease > 0 && learned.Lease <= time.Minute, "learned.lease: must be above 0 and at most 1m")
	} else {
		must(learned == (Learned{}), "learned.folder: missing")
	}
	for _, name := range classNames {
		c, ok := o.Classes[name]
		must(ok, "classes.%s: missing", name)
		must(c.Within > 0 && c.Wait >= c.Within && c.Worth > 0,
			"classes.%s: within and worth must be above 0, wait at least within", name)
		if name == "write" {
			must(c.Repeat == "keyed" && c.Window > 0 || c.Repeat == "never",
				"classes.write.repeat: must be \"keyed\", with a window above 0, or \"never\"")
		}
	}
	must(len(o.Classes) == len(classNames), "classes: must be exactly %q", classNames)
	must(len(o.Plans) > 0, "plans: missing")
	for i, p := range o.Plans {
		must(p.Name != "" && p.Weight > 0, "plans[%d]: name must be set, weight above 0", i)
		must(p.Limit == 0 || p.Burst >= maxUnits, "plans[%d].burst: must be at least %d", i, maxUnits)
	}
	must(len(o.Nodes) > 0, "nodes: missing")
	shards, names := map[int]bool{}, map[string]bool{}
	for i, n := range o.Nodes {
		must(n.Name != "" && !names[n.Name], "nodes[%d].name: missing or used before", i)
		must(n.Shard >= 0, "nodes[%d].shard: must not be below 0", i)
		must(o.SFTP.Listen == "" || isAddress(n.SFTP), "nodes[%d].sftp: %q is not an IP address with a port", i, n.SFTP)
		must(o.HTTP.Listen == "" || isAddress(n.HTTP), "nodes[%d].http: %q is not an IP address with a port", i, n.HTTP)
		shards[n.Shard], names[n.Name] = true, true
	}
	for i, p := range o.Projects {
		must(p.Name != "", "projects[%d].name: missing", i)
		must(p.Prefix != "" && p.Prefix == files.Clean(p.Prefix), "projects[%d].prefix: %q is not a clean absolute path", i, p.Prefix)
		must(o.planIndex(p.Plan) >= 0, "projects[%d].plan: unknown plan %q", i, p.Plan)
		must(shards[p.Shard], "projects[%d].shard: no node holds shard %d", i, p.Shard)
		conflicts := func(q Project) bool { return q.Name == p.Name || q.Prefix == p.Prefix }
		must(!slices.ContainsFunc(o.Projects[:i], conflicts), "projects[%d]: name or prefix used before", i)
	}
	if problem != "" {
		return fmt.Errorf("%s", problem)
	}
	return nil
}

// Warnings lists the settings that are valid but have no effect, or that weaken what clients are told.
func (o *Operator) Warnings() []string {
	var out []string
	if o.SFTP.Listen != "" && o.SFTP.Changes == "" {
		out = append(out, "sftp.changes: without it the next process does not know which changes a node may still carry out, and they may undo later ones")
	}
	if o.HTTP.Listen == "" && o.Classes["write"].Repeat == "keyed" {
		out = append(out, `classes.write.repeat: "keyed" has no effect without http.listen: a change over SFTP is never sent again once it may have run`)
	}
	return out
}

// namePattern matches names that are safe as part of a file name.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]*$`)

// usesTLS reports whether a front has TLS.
func (o *Operator) usesTLS() bool { return o.HTTP.TLS || o.SFTP.TLS }

func (o *Operator) validateCertificates(must func(ok bool, format string, args ...any)) {
	acme := &o.ACME
	if !o.usesTLS() {
		must(len(acme.Certificates)+len(acme.Authorities)+len(o.Certificates) == 0,
			"acme, certificates: set, but neither http.tls nor sftp.tls is set")
		return
	}
	must(!o.HTTP.TLS || o.HTTP.Listen != "", "http.tls: http.listen is missing")
	must(!o.SFTP.TLS || o.SFTP.Listen != "", "sftp.tls: sftp.listen is missing")
	must(len(acme.Certificates)+len(o.Certificates) > 0, "certificates, acme.certificates: TLS needs at least one")
	for i, f := range o.Certificates {
		must(f.Cert != "" && f.Key != "", "certificates[%d]: cert and key must be set", i)
	}
	if len(acme.Certificates) == 0 {
		must(len(acme.Authorities) == 0, "acme.certificates: missing")
		return
	}
	must(acme.Folder != "", "acme.folder: missing")
	must(acme.Challenge == "" || isAddress(acme.Challenge), "acme.challenge: %q is not an IP address with a port", acme.Challenge)
	must(acme.Challenge != "" || o.HTTP.TLS, "acme.challenge: missing, and TLS-ALPN-01 needs http.tls")
	must(acme.Try > 0 && acme.Least > 0 && acme.Most >= acme.Least, "acme: try and least must be above 0, most must not be below least")
	must(acme.RenewBefore >= 0, "acme.renew_before: must not be below 0")
	must(len(acme.Authorities) > 0, "acme.authorities: missing")
	used := map[string]bool{}
	for i, authority := range acme.Authorities {
		must(namePattern.MatchString(authority.Name) && !used["a "+authority.Name],
			"acme.authorities[%d].name: %q is used before, or not of a-z, 0-9, dots and dashes", i, authority.Name)
		directory, err := url.Parse(authority.Directory)
		must(err == nil && directory.Scheme == "https" && directory.Host != "",
			"acme.authorities[%d].directory: %q is not an https URL", i, authority.Directory)
		must((authority.BindingID == "") == (authority.BindingKey == ""),
			"acme.authorities[%d]: binding_id and binding_key must be set together", i)
		must(authority.Tries >= 0 && (authority.Tries == 0) == (authority.Window == 0),
			"acme.authorities[%d]: tries and window must be set together", i)
		used["a "+authority.Name] = true
	}
	for i, c := range acme.Certificates {
		must(namePattern.MatchString(c.Name) && !used["c "+c.Name],
			"acme.certificates[%d].name: %q is used before, or not of a-z, 0-9, dots and dashes", i, c.Name)
		must(len(c.Names) > 0, "acme.certificates[%d].names: missing", i)
		for _, n := range c.Names {
			must(namePattern.MatchString(n), "acme.certificates[%d].names: %q has characters other than a-z, 0-9, dot and dash", i, n)
		}
		used["c "+c.Name] = true
	}
}
