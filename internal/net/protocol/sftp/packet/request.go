// Package packet is a codec for the server side of SFTP version 3 (draft-ietf-secsh-filexfer-02). It parses packets of clients and
// encodes answers. A packet consists of a length of four bytes, a kind of one byte, an id of four bytes, and fields. Parse expects a
// packet without its length; the encoders add the length. The package does no I/O.
package packet

import (
	"errors"
	"fmt"

	"golang.org/x/crypto/cryptobyte"
)

// Version is the version of the protocol. OpenSSH and the programs derived from it use version 3.
const Version = 3

// Kind is a packet's type (section 3 of the draft).
type Kind byte

// The kinds of packets.
const (
	Init          Kind = 1
	VersionReply  Kind = 2
	Open          Kind = 3
	Close         Kind = 4
	Read          Kind = 5
	Write         Kind = 6
	Lstat         Kind = 7
	Fstat         Kind = 8
	Setstat       Kind = 9
	Fsetstat      Kind = 10
	Opendir       Kind = 11
	Readdir       Kind = 12
	Remove        Kind = 13
	Mkdir         Kind = 14
	Rmdir         Kind = 15
	Realpath      Kind = 16
	Stat          Kind = 17
	Rename        Kind = 18
	Readlink      Kind = 19
	Symlink       Kind = 20
	StatusReply   Kind = 101
	HandleReply   Kind = 102
	DataReply     Kind = 103
	NameReply     Kind = 104
	AttrsReply    Kind = 105
	Extended      Kind = 200
	ExtendedReply Kind = 201
)

// Flags of an Open (section 6.3).
const (
	OpenRead   = 0x01
	OpenWrite  = 0x02
	OpenAppend = 0x04
	OpenCreate = 0x08
	OpenTrunc  = 0x10
	OpenExcl   = 0x20
)

// PosixRename is the extension for a rename that replaces an existing file (OpenSSH, PROTOCOL, section 4.3).
const PosixRename = "posix-rename@openssh.com"

// ErrMalformed reports bytes that are not a valid packet. The start of the next packet is then unknown, so the connection is closed.
var ErrMalformed = errors.New("a malformed packet")

// Request is a client's packet. Fields that packets of its kind don't have are empty.
type Request struct {
	Kind      Kind
	ID        uint32
	Extension string // name of an Extended
	Handle    string
	Path      string
	Target    string // second path of a rename or a symbolic link
	Flags     uint32 // of an Open
	Offset    uint64
	Length    uint32 // of a Read, in bytes
	Data      []byte // of a Write; a slice of the parsed bytes
	Attrs     Attrs
}

// Parse decodes a packet without its length. An unknown kind or extension is not an error, because the client expects a status for it.
func Parse(body []byte) (Request, error) {
	s := newReader(body)
	var r Request
	var kind uint8
	ok := s.ReadUint8(&kind) && s.ReadUint32(&r.ID)
	r.Kind = Kind(kind)
	switch r.Kind {
	case Open:
		ok = ok && s.readString(&r.Path) && s.ReadUint32(&r.Flags) && s.readAttrs(&r.Attrs)
	case Close, Fstat, Readdir:
		ok = ok && s.readString(&r.Handle)
	case Read:
		ok = ok && s.readString(&r.Handle) && s.ReadUint64(&r.Offset) && s.ReadUint32(&r.Length)
	case Write:
		ok = ok && s.readString(&r.Handle) && s.ReadUint64(&r.Offset) && s.readBytes(&r.Data)
	case Lstat, Stat, Opendir, Remove, Rmdir, Realpath, Readlink:
		ok = ok && s.readString(&r.Path)
	case Setstat, Mkdir:
		ok = ok && s.readString(&r.Path) && s.readAttrs(&r.Attrs)
	case Fsetstat:
		ok = ok && s.readString(&r.Handle) && s.readAttrs(&r.Attrs)
	case Rename, Symlink:
		ok = ok && s.readString(&r.Path) && s.readString(&r.Target)
	case Extended:
		ok = ok && s.readString(&r.Extension)
		if r.Extension == PosixRename {
			ok = ok && s.readString(&r.Path) && s.readString(&r.Target)
		}
	}
	if !ok {
		return Request{}, fmt.Errorf("%w: kind %d of %d bytes", ErrMalformed, kind, len(body))
	}
	return r, nil
}

// reader reads the fields of a packet in order. A string is a length of four bytes, then the bytes (section 3 of the draft).
type reader struct{ cryptobyte.String }

func newReader(b []byte) *reader { return &reader{cryptobyte.String(b)} }

func (s *reader) readBytes(out *[]byte) bool {
	var n uint32
	return s.ReadUint32(&n) && uint64(n) <= uint64(len(s.String)) && s.ReadBytes(out, int(n))
}

func (s *reader) readString(out *string) bool {
	var b []byte
	ok := s.readBytes(&b)
	*out = string(b)
	return ok
}
