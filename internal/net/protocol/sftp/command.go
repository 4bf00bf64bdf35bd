// Package sftp maps SFTP-style file commands to the core's requests, and the core's and the nodes' errors to
// the status codes of SFTP version 3.
package sftp

import (
	"os"
	"path"
	"strings"

	"otterturn/internal/net/protocol/sftp/packet"
	"otterturn/scheduler"
)

// Op is what a command does at a node.
type Op int

// The kinds of Op. Opening for reading is a Stat, opening for writing a Create; handles live in the front.
const (
	Stat Op = iota
	Lstat
	Readlink
	List
	Read
	Create
	Write
	SetAttr
	Remove
	Rmdir
	Mkdir
	Rename
	PosixRename
)

// Command is one file command that needs a node.
type Command struct {
	Op     Op
	Path   string
	Target string // of a rename
	Flags  int    // of a Create, as of os.OpenFile
	Offset int64
	Data   []byte // to be written
	Length int    // to be read
	Attrs  packet.Attrs
}

// Reply is what a node answered. Err is the node's own word, such as that there is no such file; a request
// answered so is served.
type Reply struct {
	Infos []os.FileInfo
	Data  []byte
	EOF   bool // the data ends with the file
	Text  string
	Err   error
}

// Role is the class of request that a command falls under.
type Role int

// The kinds of Role. WriteOnce is a write that SFTP nodes can't tell from its repeat: it carries no key.
const (
	RoleRead Role = iota
	RoleBulkRead
	RoleWrite
	RoleWriteOnce
	Roles
)

// Sizes turn a command's size into units.
type Sizes struct {
	UnitBytes int     // bytes of a unit
	BulkBytes int     // reads from this size on are bulk reads
	MostUnits float64 // the most that a request counts
}

// Role tells the class of a command. A write at an offset, a create that keeps what is there and an attribute
// come to the same when they run twice. Anything else must not: a second remove could hit what another client
// made meanwhile, a late truncation what the first attempt's repeat had already been followed by.
func (c Command) Role(s Sizes) Role {
	switch c.Op {
	case Stat, Lstat, Readlink:
		return RoleRead
	case List:
		return RoleBulkRead
	case Read:
		if c.Length >= s.BulkBytes {
			return RoleBulkRead
		}
		return RoleRead
	case Write:
		return RoleWrite
	case Create:
		if c.Flags&(os.O_TRUNC|os.O_EXCL) == 0 {
			return RoleWrite
		}
	case SetAttr:
		if c.Attrs.Has&packet.HasSize == 0 {
			return RoleWrite
		}
	}
	return RoleWriteOnce
}

// Units tells the size of a command.
func (c Command) Units(s Sizes) float64 {
	bytes := max(c.Length, len(c.Data))
	if c.Op == List {
		bytes = s.UnitBytes // not known ahead: one more than the least
	}
	return min(1+float64(bytes/s.UnitBytes), s.MostUnits)
}

// Project is a customer's tree of files, which lies on one shard.
type Project struct {
	Name   string
	Prefix string // a clean absolute path
	Plan   int
	Shard  int
}

// Find returns the project that holds a path, the one with the longest prefix.
func Find(projects []Project, name string) (Project, bool) {
	best, found := Project{}, false
	for _, p := range projects {
		if within(name, p.Prefix) && (!found || len(p.Prefix) > len(best.Prefix)) {
			best, found = p, true
		}
	}
	return best, found
}

// Above lists the names next below a folder that only stands above projects; there are none in any other.
func Above(projects []Project, name string) []string {
	var out []string
	seen := map[string]bool{}
	for _, p := range projects {
		rest, ok := strings.CutPrefix(p.Prefix, strings.TrimSuffix(name, "/")+"/")
		if first, _, _ := strings.Cut(rest, "/"); ok && first != "" && !seen[first] {
			seen[first] = true
			out = append(out, first)
		}
	}
	return out
}

func within(name, prefix string) bool {
	return prefix == "/" || name == prefix || strings.HasPrefix(name, prefix+"/")
}

// Clean makes a path absolute and plain.
func Clean(name string) string { return path.Clean("/" + name) }

// Repeats tells what the classes of the four roles allow, given what the operator set for writes.
func Repeats(write scheduler.Idempotency) [Roles]scheduler.Idempotency {
	return [Roles]scheduler.Idempotency{
		RoleRead: scheduler.Idempotent, RoleBulkRead: scheduler.Idempotent, RoleWrite: write,
		RoleWriteOnce: scheduler.NotIdempotent,
	}
}
