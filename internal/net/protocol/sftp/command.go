// Package sftp maps file commands of SFTP to requests of the scheduler, and errors of the scheduler and of the nodes to the status
// codes of SFTP version 3.
package sftp

import (
	"os"
	"path"
	"strings"

	"otterturn/internal/changes"
	"otterturn/internal/net/protocol/sftp/packet"
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

// The roles. RoleWrite is any command that changes something. SFTP has no idempotency key by which a node could detect a retry, so a
// change that may have run is never sent again: the first attempt could be carried out after later changes were acknowledged.
const (
	RoleRead Role = iota
	RoleBulkRead
	RoleWrite
	Roles
)

// Sizes convert a command's size to units.
type Sizes struct {
	UnitBytes int     // bytes per unit
	BulkBytes int     // size in bytes from which a read is a bulk read
	MaxUnits  float64 // maximum size of a request
}

// Role returns the role of a command.
func (c Command) Role(s Sizes) Role {
	switch {
	case c.Changes():
		return RoleWrite
	case c.Op == List, c.Op == Read && c.Length >= s.BulkBytes:
		return RoleBulkRead
	}
	return RoleRead
}

// Changes reports whether a node may change something when it carries out the command. A Create without flags that create or truncate
// only checks that the file exists.
func (c Command) Changes() bool {
	switch c.Op {
	case Stat, Lstat, Readlink, List, Read:
		return false
	case Create:
		return c.Flags&(os.O_CREATE|os.O_TRUNC) != 0
	}
	return true
}

// Change returns what the command may change, and for a read what must not change meanwhile. No data counts as one byte, because a node
// may extend the file for an empty write.
func (c Command) Change() changes.Change {
	switch c.Op {
	case Read, Write:
		from := uint64(c.Offset)
		return changes.Change{Paths: []string{c.Path}, Content: true, From: from, To: from + uint64(max(1, c.Length, len(c.Data)))}
	case Rmdir:
		return changes.Change{Paths: []string{c.Path}, Subtree: true}
	case Rename, PosixRename:
		return changes.Change{Paths: []string{c.Path, c.Target}, Subtree: true}
	}
	return changes.Change{Paths: []string{c.Path}}
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
