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

// check validates the settings. Its error names the first invalid field.
func (o *Operator) check() error {
	l := o.Limits
	bad := ""
	must := func(ok bool, format string, args ...any) {
		if !ok && bad == "" {
			bad = fmt.Sprintf(format, args...)
		}
	}
	must(l.MemoryMB > 0 && l.Sockets > 0 && l.Open > 0 && l.Tries > 0,
		"limits: memory_mb, sockets, open and tries must be above 0")
	must(l.Connect > 0 && l.NodeIdle > 0 && l.RetryAfter > 0,
		"limits: connect, node_idle and retry_after must be durations above 0")
	d := o.Door
	must(d.Room >= 0 && d.Waiting >= 0 && d.Patience >= 0, "door: room, waiting and patience must not be below 0")
	must(d.Room == 0 || d.Waiting > 0 && d.Patience > 0, "door: waiting and patience must be above 0 if room is above 0")
	must(d.Room == 0 || d.Room+d.Waiting <= l.Open, "door: the sum of room and waiting must be at most limits.open")
	must(o.Log.Level == "" || new(slog.Level).UnmarshalText([]byte(o.Log.Level)) == nil, "log.level: %q is not one of debug, info, warn, error", o.Log.Level)
	must(o.SFTP.Listen != "" || o.HTTP.Listen != "", "sftp.listen, http.listen: at least one must be set")
	must(o.SFTP.Listen == "" || address(o.SFTP.Listen), "sftp.listen: %q is not an IP address with a port", o.SFTP.Listen)
	must(o.SFTP.Listen == "" || o.SFTP.UnitBytes > 0 && o.SFTP.BulkBytes > 0,
		"sftp: unit_bytes and bulk_bytes must be above 0")
	must(o.HTTP.Listen == "" || address(o.HTTP.Listen), "http.listen: %q is not an IP address with a port", o.HTTP.Listen)
	o.checkCertificates(must)
	if k := o.Learned; k.Folder != "" {
		must(k.Front != "", "learned.front: missing")
		must(k.Interval >= 500*time.Millisecond && k.Interval <= time.Minute, "learned.interval: must be 500ms to 1m")
		must(k.Lease > 0 && k.Lease <= time.Minute, "learned.lease: must be above 0 and at most 1m")
	} else {
		must(k == (Learned{}), "learned.folder: missing")
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
		must(p.Limit == 0 || p.Burst >= mostUnits, "plans[%d].burst: must be at least %d", i, mostUnits)
	}
	must(len(o.Nodes) > 0, "nodes: missing")
	shards, names := map[int]bool{}, map[string]bool{}
	for i, n := range o.Nodes {
		must(n.Name != "" && !names[n.Name], "nodes[%d].name: missing or used before", i)
		must(n.Shard >= 0, "nodes[%d].shard: must not be below 0", i)
		must(o.SFTP.Listen == "" || address(n.SFTP), "nodes[%d].sftp: %q is not an IP address with a port", i, n.SFTP)
		must(o.HTTP.Listen == "" || address(n.HTTP), "nodes[%d].http: %q is not an IP address with a port", i, n.HTTP)
		shards[n.Shard], names[n.Name] = true, true
	}
	for i, p := range o.Projects {
		must(p.Name != "", "projects[%d].name: missing", i)
		must(p.Prefix != "" && p.Prefix == files.Clean(p.Prefix), "projects[%d].prefix: %q is not a clean absolute path", i, p.Prefix)
		must(o.plan(p.Plan) >= 0, "projects[%d].plan: unknown plan %q", i, p.Plan)
		must(shards[p.Shard], "projects[%d].shard: no node holds shard %d", i, p.Shard)
		taken := func(q Project) bool { return q.Name == p.Name || q.Prefix == p.Prefix }
		must(!slices.ContainsFunc(o.Projects[:i], taken), "projects[%d]: name or prefix used before", i)
	}
	if bad != "" {
		return fmt.Errorf("%s", bad)
	}
	return nil
}

// name matches names that are safe as part of a file name.
var name = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]*$`)

// secured reports whether a front has TLS.
func (o *Operator) secured() bool { return o.HTTP.TLS || o.SFTP.TLS }

func (o *Operator) checkCertificates(must func(ok bool, format string, args ...any)) {
	a := &o.ACME
	if !o.secured() {
		must(len(a.Certificates)+len(a.Authorities)+len(o.Certificates) == 0, "acme, certificates: set, but neither http.tls nor sftp.tls is")
		return
	}
	must(!o.HTTP.TLS || o.HTTP.Listen != "", "http.tls: http.listen is missing")
	must(!o.SFTP.TLS || o.SFTP.Listen != "", "sftp.tls: sftp.listen is missing")
	must(len(a.Certificates)+len(o.Certificates) > 0, "certificates, acme.certificates: TLS needs at least one")
	for i, f := range o.Certificates {
		must(f.Cert != "" && f.Key != "", "certificates[%d]: cert and key must be set", i)
	}
	if len(a.Certificates) == 0 {
		must(len(a.Authorities) == 0, "acme.certificates: missing")
		return
	}
	must(a.Folder != "", "acme.folder: missing")
	must(a.Challenge == "" || address(a.Challenge), "acme.challenge: %q is not an IP address with a port", a.Challenge)
	must(a.Challenge != "" || o.HTTP.TLS, "acme.challenge: missing, and TLS-ALPN-01 needs http.tls")
	must(a.Try > 0 && a.Least > 0 && a.Most >= a.Least, "acme: try and least must be above 0, most must not be below least")
	must(a.RenewBefore >= 0, "acme.renew_before: must not be below 0")
	must(len(a.Authorities) > 0, "acme.authorities: missing")
	taken := map[string]bool{}
	for i, x := range a.Authorities {
		must(name.MatchString(x.Name) && !taken["a "+x.Name], "acme.authorities[%d].name: %q is used before, or not of a-z, 0-9, dots and dashes", i, x.Name)
		at, err := url.Parse(x.Directory)
		must(err == nil && at.Scheme == "https" && at.Host != "", "acme.authorities[%d].directory: %q is not an https URL", i, x.Directory)
		must((x.BindingID == "") == (x.BindingKey == ""), "acme.authorities[%d]: binding_id and binding_key must be set together", i)
		must(x.Tries >= 0 && (x.Tries == 0) == (x.Window == 0), "acme.authorities[%d]: tries and window must be set together", i)
		taken["a "+x.Name] = true
	}
	for i, c := range a.Certificates {
		must(name.MatchString(c.Name) && !taken["c "+c.Name], "acme.certificates[%d].name: %q is used before, or not of a-z, 0-9, dots and dashes", i, c.Name)
		must(len(c.Names) > 0, "acme.certificates[%d].names: missing", i)
		for _, n := range c.Names {
			must(name.MatchString(n), "acme.certificates[%d].names: %q has characters other than a-z, 0-9, dot and dash", i, n)
		}
		taken["c "+c.Name] = true
	}
}
