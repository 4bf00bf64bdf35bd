package testsupport

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"otterturn/internal/net/protocol/sftp/packet"
)

// LateFileServer is an SFTP storage node that keeps its files by path. It carries out every change that it has begun, however late, and
// also after the change's connection has ended. The commands of a connection are carried out in turn.
type LateFileServer struct {
	Addr string
	// Plan returns what happens to a change that has just arrived.
	Plan func(r packet.Request) Trouble
	// Drop reports whether a command is dropped and its connection reset.
	Drop func(r packet.Request) bool
	// Applied is called for each change as it is carried out.
	Applied func(r packet.Request)

	mu    sync.Mutex
	files map[string]*lateFile
}

// Trouble is what happens to a change at a LateFileServer.
type Trouble struct {
	Until <-chan struct{} // the change is carried out once this is closed; nil for at once
	Reset bool            // the connection is reset before that
}

type lateFile struct {
	content []byte
	mode    uint32
	folder  bool
}

// NewLateFileServer starts a server without files that stops when the test ends. The functions may be replaced before clients connect.
func NewLateFileServer(t *testing.T) *LateFileServer {
	s := &LateFileServer{
		Plan:    func(packet.Request) Trouble { return Trouble{} },
		Drop:    func(packet.Request) bool { return false },
		Applied: func(packet.Request) {}, files: map[string]*lateFile{},
	}
	s.Addr = Peer(t, func(_ int, c net.Conn) { s.serve(c) })
	return s
}

// State describes a file: its mode and content, "folder", or "" if it does not exist.
func (s *LateFileServer) State(path string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.files[path]
	switch {
	case f == nil:
		return ""
	case f.folder:
		return "folder"
	}
	return fmt.Sprintf("%o %q", f.mode, f.content)
}

func (s *LateFileServer) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		var head [4]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(head[:]))
		if _, err := io.ReadFull(in, body); err != nil {
			return
		}
		r, err := packet.Parse(body)
		if err != nil {
			return
		}
		if r.Kind == packet.Init {
			c.Write(packet.EncodeVersion(packet.Pair{Name: packet.PosixRename, Data: "1"}))
			continue
		}
		if s.Drop(r) {
			c.(*net.TCPConn).SetLinger(0)
			return
		}
		if isChange(r) {
			trouble := s.Plan(r)
			if trouble.Reset {
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}
			if trouble.Until != nil {
				<-trouble.Until
			}
		}
		if _, err := c.Write(s.execute(r)); err != nil {
			return
		}
	}
}

// Flags of an Open that change something.
const openChanges = packet.OpenCreate | packet.OpenTrunc

func isChange(r packet.Request) bool {
	switch r.Kind {
	case packet.Open:
		return r.Flags&openChanges != 0
	case packet.Write, packet.Setstat, packet.Remove, packet.Mkdir, packet.Rmdir, packet.Rename, packet.Extended:
		return true
	}
	return false
}

func (s *LateFileServer) execute(r packet.Request) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Kind == packet.Write {
		r.Path = r.Handle // a handle is its file's path
	}
	f := s.files[r.Path]
	code := packet.OK
	switch {
	case isChange(r):
		code = s.change(r, f)
		s.Applied(r)
		if r.Kind == packet.Open && code == packet.OK {
			return packet.EncodeHandle(r.ID, r.Path)
		}
	case r.Kind == packet.Close:
	case r.Kind == packet.Realpath:
		return packet.EncodeNames(r.ID, packet.Entry{Name: "/"})
	case r.Kind == packet.Read:
		content := s.files[r.Handle].content
		if r.Offset >= uint64(len(content)) {
			return packet.EncodeStatus(r.ID, packet.EOF, "")
		}
		return packet.EncodeData(r.ID, content[r.Offset:min(uint64(len(content)), r.Offset+uint64(r.Length))])
	case f == nil:
		code = packet.NoSuchFile
	case r.Kind == packet.Open:
		return packet.EncodeHandle(r.ID, r.Path)
	case r.Kind == packet.Stat, r.Kind == packet.Lstat:
		mode := f.mode | 0o100000
		if f.folder {
			mode = f.mode | 0o040000
		}
		return packet.EncodeAttrs(r.ID, packet.Attrs{Has: packet.HasSize | packet.HasMode, Size: uint64(len(f.content)), Mode: mode})
	default:
		code = packet.Unsupported
	}
	return packet.EncodeStatus(r.ID, code, "")
}

// change carries out a change of the file at its path, nil if there is none. The caller holds the lock.
func (s *LateFileServer) change(r packet.Request, f *lateFile) packet.Code {
	switch r.Kind {
	case packet.Open:
		if f == nil || r.Flags&packet.OpenTrunc != 0 {
			s.files[r.Path] = &lateFile{mode: 0o644}
		}
	case packet.Mkdir:
		if f != nil {
			return packet.Failure
		}
		s.files[r.Path] = &lateFile{folder: true}
	case packet.Write:
		if f == nil { // the handle outlives the name
			f = &lateFile{mode: 0o644}
			s.files[r.Path] = f
		}
		if end := int(r.Offset) + len(r.Data); end > len(f.content) {
			f.content = append(f.content, make([]byte, end-len(f.content))...)
		}
		copy(f.content[r.Offset:], r.Data)
	case packet.Setstat:
		if f == nil {
			return packet.NoSuchFile
		}
		if r.Attrs.Has&packet.HasMode != 0 {
			f.mode = r.Attrs.Mode & 0o777
		}
		if r.Attrs.Has&packet.HasSize != 0 {
			f.content = append(f.content, make([]byte, r.Attrs.Size)...)[:r.Attrs.Size]
		}
	case packet.Remove, packet.Rmdir:
		if f == nil {
			return packet.NoSuchFile
		}
		delete(s.files, r.Path)
	case packet.Rename, packet.Extended:
		return s.rename(r.Path, r.Target)
	}
	return packet.OK
}

func (s *LateFileServer) rename(from, to string) packet.Code {
	if s.files[from] == nil {
		return packet.NoSuchFile
	}
	moved := map[string]*lateFile{}
	for path, f := range s.files {
		if rest, ok := strings.CutPrefix(path, from); ok && (rest == "" || rest[0] == '/') {
			delete(s.files, path)
			moved[to+rest] = f
		}
	}
	for path, f := range moved {
		s.files[path] = f
	}
	return packet.OK
}
