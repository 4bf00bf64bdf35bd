package program

import (
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"github.com/BurntSushi/toml"

	files "otterturn/internal/net/protocol/sftp"
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

func (m misuse) Unwrap() error { return m.error }

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
