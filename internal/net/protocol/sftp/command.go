// Package sftp maps file commands of SFTP to requests of the scheduler, and errors of the scheduler and of the nodes to the status
// codes of SFTP version 3.
package sftp

import (
	"os"
	"path"
	"strings"

	"otterturn/internal/net/protocol/sftp/packet"
	"otterturn/scheduler"
)

// Op is the operation of a command at a node.
type Op int

// The operations. Opening a file for reading is a Stat, opening it for writing a Create, since only the front keeps handles.
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
	Target string // new path of a rename
	Flags  int    // of a Create, as for os.OpenFile
	Offset int64
	Data   []byte // bytes to write
	Length int    // number of bytes to read
	Attrs  packet.Attrs
}

// Reply is the answer of a node. Err is an error that the node reports, such as that a file does not exist; a request with such an
// answer counts as served.
type Reply struct {
	Infos []os.FileInfo
	Data  []byte
	EOF   bool // the data reaches the end of the file
	Text  string
	Err   error
}

// Role is the kind of a command. Each role has a class of the scheduler.
type Role int

// The roles. RoleWriteOnce is a write that must not run twice: SFTP has no idempotency key by which a node could detect a retry.
const (
	RoleRead Role = iota
	RoleBulkRead
	RoleWrite
	RoleWriteOnce
	Roles
)

// Sizes convert a command's size to units.
type Sizes struct {
	UnitBytes int     // bytes per unit
	BulkBytes int     // size in bytes from which a read is a bulk read
	MaxUnits  float64 // maximum size of a request
}

// Role returns the role of a command. A write at an offset, a create that keeps existing content and a change of attributes other
// than the size are idempotent. Other changes must not run twice: a second remove could delete what another client has created in
// between, and a late truncation could delete what was written after the retry of the first attempt.
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

// Units returns the size of a command in units.
func (c Command) Units(s Sizes) float64 {
	bytes := max(c.Length, len(c.Data))
	if c.Op == List {
		bytes = s.UnitBytes // the size is unknown in advance: one unit above the minimum
	}
	return min(1+float64(bytes/s.UnitBytes), s.MaxUnits)
}

// Project is a customer's directory tree, which is stored on one shard.
type Project struct {
	Name   string
	Prefix string // a clean absolute path
	Plan   int
	Shard  int
}

// FindProject returns the project that a path belongs to: of all that match, the one with the longest prefix.
func FindProject(projects []Project, name string) (Project, bool) {
	best, found := Project{}, false
	for _, p := range projects {
		if isWithin(name, p.Prefix) && (!found || len(p.Prefix) > len(best.Prefix)) {
			best, found = p, true
		}
	}
	return best, found
}

// VirtualSubfolders returns the names of the direct subfolders of a folder that is a parent of project prefixes, and none for any
// other folder.
func VirtualSubfolders(projects []Project, name string) []string {
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

func isWithin(name, prefix string) bool {
	return prefix == "/" || name == prefix || strings.HasPrefix(name, prefix+"/")
}

// Clean makes a path absolute and removes its redundant elements.
func Clean(name string) string { return path.Clean("/" + name) }

// Idempotencies returns the idempotency of the classes of the four roles, given the operator's setting for writes.
func Idempotencies(write scheduler.Idempotency) [Roles]scheduler.Idempotency {
	return [Roles]scheduler.Idempotency{
		RoleRead: scheduler.Idempotent, RoleBulkRead: scheduler.Idempotent, RoleWrite: write,
		RoleWriteOnce: scheduler.NotIdempotent,
	}
}
