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

// This file checks an operator's file. Its errors name the field.

// check tells the first field that is wrong.
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
		"limits: connect, node_idle and retry_after must be times above 0")
	d := o.Door
	must(d.Room >= 0 && d.Waiting >= 0 && d.Patience >= 0, "door: room, waiting and patience must not be below 0")
	must(d.Room == 0 || d.Waiting > 0 && d.Patience > 0, "door: waiting and patience must be above 0 where there is room")
	must(d.Room == 0 || d.Room+d.Waiting <= l.Open, "door: room and waiting together must not pass limits.open")
	must(o.Log.Level == "" || new(slog.Level).UnmarshalText([]byte(o.Log.Level)) == nil, "log.level: %q is none of debug, info, warn, error", o.Log.Level)
	must(o.SFTP.Listen != "" || o.HTTP.Listen != "", "sftp.listen, http.listen: one of them must be set")
	must(o.SFTP.Listen == "" || address(o.SFTP.Listen), "sftp.listen: %q is no address with a port", o.SFTP.Listen)
	must(o.SFTP.Listen == "" || o.SFTP.UnitBytes > 0 && o.SFTP.BulkBytes > 0,
		"sftp: unit_bytes and bulk_bytes must be above 0")
	must(o.HTTP.Listen == "" || address(o.HTTP.Listen), "http.listen: %q is no address with a port", o.HTTP.Listen)
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
	must(len(o.Classes) == len(classNames), "classes: must be %q", classNames)
	must(len(o.Plans) > 0, "plans: missing")
	for i, p := range o.Plans {
		must(p.Name != "" && p.Weight > 0, "plans[%d]: name must be set, weight above 0", i)
		must(p.Limit == 0 || p.Burst >= mostUnits, "plans[%d].burst: must be %d at least", i, mostUnits)
	}
	must(len(o.Nodes) > 0, "nodes: missing")
	shards, names := map[int]bool{}, map[string]bool{}
	for i, n := range o.Nodes {
		must(n.Name != "" && !names[n.Name], "nodes[%d].name: missing or taken", i)
		must(n.Shard >= 0, "nodes[%d].shard: must not be below 0", i)
		must(o.SFTP.Listen == "" || address(n.SFTP), "nodes[%d].sftp: %q is no address with a port", i, n.SFTP)
		must(o.HTTP.Listen == "" || address(n.HTTP), "nodes[%d].http: %q is no address with a port", i, n.HTTP)
		shards[n.Shard], names[n.Name] = true, true
	}
	for i, p := range o.Projects {
		must(p.Name != "", "projects[%d].name: missing", i)
		must(p.Prefix != "" && p.Prefix == files.Clean(p.Prefix), "projects[%d].prefix: %q is no plain absolute path", i, p.Prefix)
		must(o.plan(p.Plan) >= 0, "projects[%d].plan: %q is no plan", i, p.Plan)
		must(shards[p.Shard], "projects[%d].shard: no node holds shard %d", i, p.Shard)
		taken := func(q Project) bool { return q.Name == p.Name || q.Prefix == p.Prefix }
		must(!slices.ContainsFunc(o.Projects[:i], taken), "projects[%d]: name or prefix is taken", i)
	}
	if bad != "" {
		return fmt.Errorf("%s", bad)
	}
	return nil
}

// name is one that may stand in a file's name.
var name = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]*$`)

// secured tells whether a front speaks TLS.
func (o *Operator) secured() bool { return o.HTTP.TLS || o.SFTP.TLS }

func (o *Operator) checkCertificates(must func(ok bool, format string, args ...any)) {
	a := &o.ACME
	if !o.secured() {
		must(len(a.Certificates)+len(a.Authorities)+len(o.Certificates) == 0, "acme, certificates: neither http.tls nor sftp.tls is set")
		return
	}
	must(!o.HTTP.TLS || o.HTTP.Listen != "", "http.tls: there is no http.listen")
	must(!o.SFTP.TLS || o.SFTP.Listen != "", "sftp.tls: there is no sftp.listen")
	must(len(a.Certificates)+len(o.Certificates) > 0, "certificates, acme.certificates: tls needs one")
	for i, f := range o.Certificates {
		must(f.Cert != "" && f.Key != "", "certificates[%d]: cert and key must be files", i)
	}
	if len(a.Certificates) == 0 {
		must(len(a.Authorities) == 0, "acme.certificates: missing")
		return
	}
	must(a.Folder != "", "acme.folder: missing")
	must(a.Challenge == "" || address(a.Challenge), "acme.challenge: %q is no address with a port", a.Challenge)
	must(a.Challenge != "" || o.HTTP.TLS, "acme.challenge: missing, and TLS-ALPN-01 needs http.tls")
	must(a.Try > 0 && a.Least > 0 && a.Most >= a.Least, "acme: try and least must be above 0, most at least least")
	must(a.RenewBefore >= 0, "acme.renew_before: must not be below 0")
	must(len(a.Authorities) > 0, "acme.authorities: missing")
	taken := map[string]bool{}
	for i, x := range a.Authorities {
		must(name.MatchString(x.Name) && !taken["a "+x.Name], "acme.authorities[%d].name: %q is taken, or not of letters, digits, dots and dashes", i, x.Name)
		at, err := url.Parse(x.Directory)
		must(err == nil && at.Scheme == "https" && at.Host != "", "acme.authorities[%d].directory: %q is no https address", i, x.Directory)
		must((x.BindingID == "") == (x.BindingKey == ""), "acme.authorities[%d]: binding_id and binding_key belong together", i)
		must(x.Tries >= 0 && (x.Tries == 0) == (x.Window == 0), "acme.authorities[%d]: tries and window belong together", i)
		taken["a "+x.Name] = true
	}
	for i, c := range a.Certificates {
		must(name.MatchString(c.Name) && !taken["c "+c.Name], "acme.certificates[%d].name: %q is taken, or not of letters, digits, dots and dashes", i, c.Name)
		must(len(c.Names) > 0, "acme.certificates[%d].names: missing", i)
		for _, n := range c.Names {
			must(name.MatchString(n), "acme.certificates[%d].names: %q is no plain name in small letters", i, n)
		}
		taken["c "+c.Name] = true
	}
}
