package packet

import (
	"fmt"
	"os"
	"time"

	"golang.org/x/crypto/cryptobyte"
)

// Flags of Attrs (section 5 of the draft): which of its fields are present.
const (
	HasSize     = 0x01
	HasOwner    = 0x02
	HasMode     = 0x04
	HasTimes    = 0x08
	hasExtended = 0x80000000
)

// Attrs are a file's attributes. Times are Unix times in seconds.
type Attrs struct {
	Has          uint32
	Size         uint64 // bytes
	UID, GID     uint32
	Mode         uint32 // POSIX mode, with the file type
	Atime, Mtime uint32
}

func (s *reader) readAttrs(a *Attrs) bool {
	if !s.ReadUint32(&a.Has) {
		return false
	}
	for _, f := range []struct {
		flag uint32
		read func() bool
	}{
		{HasSize, func() bool { return s.ReadUint64(&a.Size) }},
		{HasOwner, func() bool { return s.ReadUint32(&a.UID) && s.ReadUint32(&a.GID) }},
		{HasMode, func() bool { return s.ReadUint32(&a.Mode) }},
		{HasTimes, func() bool { return s.ReadUint32(&a.Atime) && s.ReadUint32(&a.Mtime) }},
		{hasExtended, func() bool {
			var pairs uint32 // each has two strings: its type and its data
			var unused []byte
			ok := s.ReadUint32(&pairs)
			for left := 2 * uint64(pairs); ok && left > 0; left-- {
				ok = s.readBytes(&unused)
			}
			return ok
		}},
	} {
		if a.Has&f.flag != 0 && !f.read() {
			return false
		}
	}
	return true
}

func addAttrs(b *cryptobyte.Builder, a Attrs) {
	b.AddUint32(a.Has &^ hasExtended)
	if a.Has&HasSize != 0 {
		b.AddUint64(a.Size)
	}
	if a.Has&HasOwner != 0 {
		b.AddUint32(a.UID)
		b.AddUint32(a.GID)
	}
	if a.Has&HasMode != 0 {
		b.AddUint32(a.Mode)
	}
	if a.Has&HasTimes != 0 {
		b.AddUint32(a.Atime)
		b.AddUint32(a.Mtime)
	}
}

// File types in a POSIX mode (sys/stat.h).
const (
	typeFifo   = 0o010000
	typeChar   = 0o020000
	typeDir    = 0o040000
	typeBlock  = 0o060000
	typeFile   = 0o100000
	typeLink   = 0o120000
	typeSocket = 0o140000
)

// Mode converts a mode of package os to a POSIX mode.
func Mode(m os.FileMode) uint32 {
	out := uint32(m.Perm())
	switch {
	case m&os.ModeNamedPipe != 0:
		out |= typeFifo
	case m&os.ModeCharDevice != 0:
		out |= typeChar
	case m.IsDir():
		out |= typeDir
	case m&os.ModeDevice != 0:
		out |= typeBlock
	case m&os.ModeSymlink != 0:
		out |= typeLink
	case m&os.ModeSocket != 0:
		out |= typeSocket
	default:
		out |= typeFile
	}
	for bit, mode := range map[uint32]os.FileMode{0o4000: os.ModeSetuid, 0o2000: os.ModeSetgid, 0o1000: os.ModeSticky} {
		if m&mode != 0 {
			out |= bit
		}
	}
	return out
}

// Entry is a file in a listing.
type Entry struct {
	Name  string
	Mode  os.FileMode // for the entry's line in a listing
	Attrs Attrs
}

// line formats the entry as 'ls -l' does. Clients print it unchanged (section 7).
func (e Entry) line() string {
	kind := byte('-')
	switch {
	case e.Mode.IsDir():
		kind = 'd'
	case e.Mode&os.ModeSymlink != 0:
		kind = 'l'
	case e.Mode&os.ModeType != 0:
		kind = 's'
	}
	at := time.Unix(int64(e.Attrs.Mtime), 0).UTC()
	return fmt.Sprintf("%c%s    1 %-8d %-8d %8d %s %s", kind, e.Mode.Perm().String()[1:], e.Attrs.UID, e.Attrs.GID,
		e.Attrs.Size, at.Format("Jan _2  2006"), e.Name)
}
