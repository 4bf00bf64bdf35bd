// Package changes orders the changes that a front sends to storage nodes. A change that may still be carried out by a node, although
// its command has ended, must not alter what a later acknowledged change has made. Nothing bounds how long a node may take. So a change
// waits for every earlier one that conflicts with it and is in progress, and is refused while an earlier one is unsettled.
//
// The package is pure: it does no I/O and reads no clock.
package changes

import "strings"

// Change describes what a command may change.
type Change struct {
	Paths   []string // clean absolute paths
	Subtree bool     // whatever is below the paths may change too
	Content bool     // only the bytes from From to To, exclusively, change
	From    uint64
	To      uint64
}

// Record is a change in progress, as it is stored for the next process.
type Record struct {
	Change Change
	Group  string // see Entry
	Node   string // node to which the change was sent
}

// ConflictsWith reports whether one of two changes could alter what the other one made.
func (c Change) ConflictsWith(other Change) bool {
	for _, path := range c.Paths {
		for _, otherPath := range other.Paths {
			switch {
			case path == otherPath:
				return !c.Content || !other.Content || c.From < other.To && other.From < c.To
			case c.Subtree && isBelow(otherPath, path), other.Subtree && isBelow(path, otherPath):
				return true
			}
		}
	}
	return false
}

// isBelow reports whether a path is below a folder.
func isBelow(path, folder string) bool {
	return folder == "/" && path != "/" || strings.HasPrefix(path, folder+"/")
}
