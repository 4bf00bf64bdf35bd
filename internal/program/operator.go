package program

import (
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"github.com/BurntSushi/toml"

	files "otterturn/internal/net/protocol/sftp"
)

// Operator is the content of the operator's file: an appliance's nodes, projects, fronts and limits.
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
		UnitBytes int    `toml:"unit_bytes"`
		BulkBytes int    `toml:"bulk_bytes"`
		Changes   string // file for the changes in progress; without it the next process does not know them
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

// Door configures the admission of requests to the HTTP front. Without room every request is admitted.
type Door struct {
	Room     int           // maximum number of admitted requests
	Waiting  int           // maximum number of requests that wait for admission, in fair queues
	Patience time.Duration // maximum time of a request in the queues
}

// Log configures the logger.
type Log struct{ Level string }

// level returns the log level of a validated file, info by default.
func (l Log) level() slog.Level {
	var out slog.Level
	if l.Level != "" {
		out.UnmarshalText([]byte(l.Level))
	}
	return out
}

// Project is a customer's tree of files, all paths below Prefix.
type Project struct {
	Name   string
	Prefix string
	Plan   string
	Shard  int
}

// ACME configures the certificates that are ordered from certificate authorities.
type ACME struct {
	Folder       string        // for accounts, keys and certificates
	Challenge    string        // listening address for HTTP-01 challenges; without it only TLS-ALPN-01 is used
	RenewBefore  time.Duration `toml:"renew_before"` // how long before its end a certificate is renewed; 0 for a third of the lifetime
	Try          time.Duration // maximum duration of a try
	Least        time.Duration // minimum time between two tries
	Most         time.Duration // maximum time between two tries
	Authorities  []Authority
	Certificates []struct {
		Name  string
		Names []string
	}
}

// Authority is a certificate authority. The first one of the file is preferred.
type Authority struct {
	Name       string
	Directory  string
	Roots      string // file with the root certificates for the authority's HTTPS server, if the system has none
	Email      string // contact address for the authority
	BindingID  string `toml:"binding_id"`  // key identifier of an external account
	BindingKey string `toml:"binding_key"` // MAC key of the external account, in base64url
	Tries      int    // maximum number of tries per Window
	Window     time.Duration
}

// File names the files of a certificate that the operator provides.
type File struct{ Cert, Key string }

// Learned configures the saving of learned state across restarts. Without a folder nothing is saved.
type Learned struct {
	Folder   string
	Front    string        // name of this front: snapshots of another front are not used
	Interval time.Duration // time between two saves
	Lease    time.Duration // tokens that a limit refills in this time may be drawn before the next save
}

// recordIntervals is the lifetime, in save intervals, of a record of the tokens drawn from a limit. While no record can be
// written, a project's commands wait at most that long.
const recordIntervals = 6

// maxUnits is the maximum number of units of a file command.
const maxUnits = 8

// classNames lists the operator's classes by role.
var classNames = []string{files.RoleRead: "read", files.RoleBulkRead: "bulk-read", files.RoleWrite: "write"}

// LoadOperator reads and validates the operator's file. Its errors name the field and match ErrConfiguration.
func LoadOperator(path string) (Operator, error) {
	operator, err := readOperator(path)
	if err != nil {
		return Operator{}, configurationError{err}
	}
	return operator, nil
}

// configurationError marks an error as a configuration error.
type configurationError struct{ error }

func (e configurationError) Is(target error) bool { return target == ErrConfiguration }

func (e configurationError) Unwrap() error { return e.error }

func readOperator(path string) (Operator, error) {
	var operator Operator
	meta, err := toml.DecodeFile(path, &operator)
	if err != nil {
		return Operator{}, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return Operator{}, fmt.Errorf("%s: %s: unknown", path, unknown[0])
	}
	if err := operator.validate(); err != nil {
		return Operator{}, fmt.Errorf("%s: %w", path, err)
	}
	return operator, nil
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}
