package program

import (
	"fmt"
	"log/slog"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"time"

	"github.com/BurntSushi/toml"

	"otterturn/internal/limits"
	"otterturn/internal/net/protocol"
	files "otterturn/internal/net/protocol/sftp"
	"otterturn/internal/net/transport/sftp"
	"otterturn/scheduler"
)

// Operator is the operator's file: an appliance's nodes, projects, fronts and limits.
type Operator struct {
	Limits struct {
		MemoryMB   int `toml:"memory_mb"`
		Sockets    int
		Open       int
		Tries      int
		Connect    time.Duration
		NodeIdle   time.Duration `toml:"node_idle"`
		RetryAfter time.Duration `toml:"retry_after"`
	}
	SFTP struct {
		Listen    string
		TLS       bool
		UnitBytes int `toml:"unit_bytes"`
		BulkBytes int `toml:"bulk_bytes"`
	}
	HTTP struct {
		Listen string
		TLS    bool
	}
	ACME         ACME
	Certificates []File
	Console      struct{ Socket string }
	Log          Log
	Door         Door
	Learned      Learned
	Classes      map[string]struct {
		Within time.Duration
		Wait   time.Duration
		Worth  float64
		Repeat string
		Window time.Duration
	}
	Plans []struct {
		Name        string
		Reservation float64
		Weight      float64
		Limit       float64
		Burst       float64
	}
	Nodes []struct {
		Name  string
		SFTP  string
		HTTP  string
		Shard int
	}
	Projects []Project
}

// Door says who is taken when the HTTP front is full. Without room there is none.
type Door struct {
	Room     int           // requests taken at a time
	Waiting  int           // that wait for it, by fair queues
	Patience time.Duration // and for so long at the most
}

// Log says how much is logged.
type Log struct{ Level string }

// level is that of a checked file.
func (l Log) level() slog.Level {
	var out slog.Level
	if l.Level != "" {
		out.UnmarshalText([]byte(l.Level))
	}
	return out
}

// Project is a customer's tree of files.
type Project struct {
	Name   string
	Prefix string
	Plan   string
	Shard  int
}

// ACME is what the operator says of certificates that authorities are asked for.
type ACME struct {
	Folder       string        // for accounts, keys and certificates
	Challenge    string        // address of the HTTP-01 answers; without one TLS-ALPN-01 alone is answered
	RenewBefore  time.Duration `toml:"renew_before"` // 0 for a third of the lifetime
	Try          time.Duration // a try takes so long at the most
	Least        time.Duration // between two tries at the least, and
	Most         time.Duration // at the most
	Authorities  []Authority
	Certificates []struct {
		Name  string
		Names []string
	}
}

// Authority is a certificate authority, the first one preferred.
type Authority struct {
	Name       string
	Directory  string
	Roots      string // file of the authority's own root certificates, if the system has none for it
	Email      string // where the authority may write
	BindingID  string `toml:"binding_id"`  // of an external account
	BindingKey string `toml:"binding_key"` // its key, in base64url
	Tries      int    // it allows so many tries
	Window     time.Duration
}

// File is a certificate that the operator brings.
type File struct{ Cert, Key string }

// Learned is what the operator says of knowledge that survives a restart. Without a folder none is kept.
type Learned struct {
	Folder   string
	Front    string        // name of this front: what another one learned is not used
	Interval time.Duration // between two saves
	Lease    time.Duration // what a limit lets flow in so long may be drawn ahead of the next save
}

// recordLasts is for how many intervals a record of what was drawn from a limit may be read back. While none can be
// written, a project's commands wait that long at the most.
const recordLasts = 6

// mostUnits is the most that a file command counts.
const mostUnits = 8

// classNames are the operator's classes in the order of their roles; a write that must not be repeated follows
// the figures of write.
var classNames = []string{files.RoleRead: "read", files.RoleBulkRead: "bulk-read", files.RoleWrite: "write"}

// LoadOperator reads and checks the operator's file. Its errors name the field, and are ErrConfiguration.
func LoadOperator(path string) (Operator, error) {
	o, err := readOperator(path)
	if err != nil {
		return Operator{}, misuse{err}
	}
	return o, nil
}

// misuse marks an error of the configuration.
type misuse struct{ error }

func (m misuse) Is(target error) bool { return target == ErrConfiguration }
func (m misuse) Unwrap() error        { return m.error }

func readOperator(path string) (Operator, error) {
	var o Operator
	meta, err := toml.DecodeFile(path, &o)
	if err != nil {
		return Operator{}, fmt.Errorf("%s: %w", path, err)
	}
	if odd := meta.Undecoded(); len(odd) > 0 {
		return Operator{}, fmt.Errorf("%s: %s: unknown", path, odd[0])
	}
	if err := o.check(); err != nil {
		return Operator{}, fmt.Errorf("%s: %w", path, err)
	}
	return o, nil
}

func address(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

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

func (o *Operator) plan(name string) int {
	for i, p := range o.Plans {
		if p.Name == name {
			return i
		}
	}
	return -1
}

// limits fills the limits of the appliance.
func (o *Operator) limits() limits.Limits {
	longest := time.Duration(0)
	for _, c := range o.Classes {
		longest = max(longest, c.Wait)
	}
	return limits.For(limits.Site{
		MemoryMB: o.Limits.MemoryMB, Sockets: o.Limits.Sockets, Open: o.Limits.Open,
		ConnIdle: o.Limits.NodeIdle, Connect: o.Limits.Connect, Deadline: longest,
	})
}

// Settings are the figures of the scheduler and of the HTTP front.
func (o *Operator) Settings() protocol.Settings {
	out := protocol.Settings{
		Classes: classNames, MaxOpen: o.Limits.Open, ConnIdle: o.Limits.NodeIdle,
		Connect: o.Limits.Connect, Retry: o.Limits.RetryAfter, Scheduler: scheduler.Settings{
			Fronts: 1, Tick: 2000, MeanUnits: 2, MaxUnits: mostUnits, MaxAttempts: o.Limits.Tries, HealthChecks: true, ServeLate: true,
			RetryAfter: true, MaxRetryAfter: scheduler.Micros(o.Limits.RetryAfter / time.Microsecond),
		},
	}
	if k := o.Learned; k.Folder != "" {
		out.Scheduler.Lease = scheduler.Micros(k.Lease / time.Microsecond)
		out.Scheduler.RecordLifetime = scheduler.Micros(recordLasts * k.Interval / time.Microsecond)
	}
	write := scheduler.IdempotentByKey
	if o.Classes["write"].Repeat == "never" {
		write = scheduler.NotIdempotent
	}
	for role, repeat := range files.Repeats(write) {
		c := o.Classes[classNames[min(role, int(files.RoleWrite))]]
		out.LongestWait = max(out.LongestWait, c.Wait)
		out.Scheduler.Classes = append(out.Scheduler.Classes, scheduler.Class{
			LatencyObjective: scheduler.Micros(c.Within / time.Microsecond),
			Idempotency:      repeat, DedupScope: scheduler.SameShard, DedupWindow: scheduler.Micros(c.Window / time.Microsecond), Priority: c.Worth,
		})
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

// site is what the SFTP front is told.
func (o *Operator) site() sftp.Site {
	out := sftp.Site{
		Retry: o.Limits.RetryAfter,
		Sizes: files.Sizes{UnitBytes: o.SFTP.UnitBytes, BulkBytes: o.SFTP.BulkBytes, MostUnits: mostUnits},
	}
	for role := range out.Classes {
		out.Classes[role] = role
		out.Wait[role] = o.Classes[classNames[min(role, int(files.RoleWrite))]].Wait
	}
	for _, p := range o.Projects {
		out.Projects = append(out.Projects, files.Project{
			Name: p.Name, Prefix: p.Prefix, Plan: o.plan(p.Plan),
			Shard: p.Shard,
		})
	}
	return out
}

// list is the node list with the addresses of one front.
func (o *Operator) list(dial func(sftp, http string) string) protocol.List {
	out := protocol.List{Whole: true}
	for _, n := range o.Nodes {
		out.Hosts = append(out.Hosts, protocol.Host{
			Dial:     dial(n.SFTP, n.HTTP),
			Endpoint: scheduler.Endpoint{Node: n.Name, Shard: n.Shard},
		})
	}
	return out
}
