package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Packets of SFTP version 3.
const (
	sftpInit     = 1
	sftpVersion  = 2
	sftpOpen     = 3
	sftpClose    = 4
	sftpRead     = 5
	sftpLstat    = 7
	sftpRealpath = 16
	sftpStat     = 17
	sftpStatus   = 101
	sftpHandle   = 102
	sftpData     = 103
	sftpName     = 104
	sftpAttrs    = 105

	sftpOK      = 0
	sftpEOF     = 1
	sftpNoFile  = 2
	sftpBadOp   = 8
	openForRead = 0x01
)

// packetReader reads the fields of a packet.
type packetReader struct{ b []byte }

func (p *packetReader) u32() uint32 {
	if len(p.b) < 4 {
		p.b = nil
		return 0
	}
	v := binary.BigEndian.Uint32(p.b)
	p.b = p.b[4:]
	return v
}

func (p *packetReader) u64() uint64 { return uint64(p.u32())<<32 | uint64(p.u32()) }

func (p *packetReader) text() string {
	n := int(p.u32())
	if n > len(p.b) {
		n = len(p.b)
	}
	v := string(p.b[:n])
	p.b = p.b[n:]
	return v
}

// packet builds a packet.
type packet struct{ b []byte }

func newPacket(kind byte) *packet { return &packet{[]byte{0, 0, 0, 0, kind}} }

func (p *packet) u32(v uint32) *packet {
	p.b = binary.BigEndian.AppendUint32(p.b, v)
	return p
}

func (p *packet) u64(v uint64) *packet {
	p.b = binary.BigEndian.AppendUint64(p.b, v)
	return p
}

func (p *packet) text(v string) *packet {
	p.u32(uint32(len(v)))
	p.b = append(p.b, v...)
	return p
}

func (p *packet) bytes() []byte {
	binary.BigEndian.PutUint32(p.b, uint32(len(p.b)-4))
	return p.b
}

func readPacket(in io.Reader) (kind byte, rest *packetReader, err error) {
	head := make([]byte, 4)
	if _, err := io.ReadFull(in, head); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head)
	if n == 0 || n > 1<<20 {
		return 0, nil, errors.New("malformed packet")
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(in, body); err != nil {
		return 0, nil, err
	}
	return body[0], &packetReader{body[1:]}, nil
}

func statusPacket(id, code uint32, message string) []byte {
	return newPacket(sftpStatus).u32(id).u32(code).text(message).text("en").bytes()
}

// fileServer is a storage node that speaks SFTP and holds its files in memory.
type fileServer struct {
	addr string
	// spoils reports whether the answer to a command is spoilt: a status in place of what was asked for.
	spoils func(kind byte) bool

	mu    sync.Mutex
	files map[string][]byte
}

func newFileServer(files map[string][]byte, spoils func(kind byte) bool) (*fileServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &fileServer{addr: l.Addr().String(), spoils: spoils, files: files}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

func (s *fileServer) serve(c net.Conn) {
	defer c.Close()
	handles := map[string]string{}
	for {
		kind, p, err := readPacket(c)
		if err != nil {
			return
		}
		if kind == sftpInit {
			c.Write(newPacket(sftpVersion).u32(3).bytes())
			continue
		}
		if _, err := c.Write(s.execute(kind, p, handles)); err != nil {
			return
		}
	}
}

func attributes(p *packet, size int) *packet { return p.u32(0x5).u64(uint64(size)).u32(0o100644) }

func (s *fileServer) execute(kind byte, p *packetReader, handles map[string]string) []byte {
	id := p.u32()
	if s.spoils(kind) {
		return statusPacket(id, sftpOK, "")
	}
	switch kind {
	case sftpRealpath:
		return attributes(newPacket(sftpName).u32(id).u32(1).text("/").text("/"), 0).bytes()
	case sftpStat, sftpLstat:
		path := p.text()
		s.mu.Lock()
		defer s.mu.Unlock()
		content, exists := s.files[path]
		if !exists {
			return statusPacket(id, sftpNoFile, "no such file")
		}
		return attributes(newPacket(sftpAttrs).u32(id), len(content)).bytes()
	case sftpOpen:
		path := p.text()
		s.mu.Lock()
		defer s.mu.Unlock()
		if _, exists := s.files[path]; !exists {
			return statusPacket(id, sftpNoFile, "no such file")
		}
		handle := fmt.Sprint("h", len(handles))
		handles[handle] = path
		return newPacket(sftpHandle).u32(id).text(handle).bytes()
	case sftpClose:
		delete(handles, p.text())
		return statusPacket(id, sftpOK, "")
	case sftpRead:
		path, offset, length := handles[p.text()], p.u64(), p.u32()
		s.mu.Lock()
		defer s.mu.Unlock()
		content := s.files[path]
		if offset >= uint64(len(content)) {
			return statusPacket(id, sftpEOF, "end of file")
		}
		end := min(uint64(len(content)), offset+uint64(length))
		return newPacket(sftpData).u32(id).text(string(content[offset:end])).bytes()
	}
	return statusPacket(id, sftpBadOp, "not offered")
}

// fileClient is an SFTP client that sends one command at a time.
type fileClient struct {
	net.Conn
	id     uint32
	intact bool // the last command was answered
}

func dialFiles(addr string) (*fileClient, error) {
	c, err := net.DialTimeout("tcp", addr, 3*time.Second)
	if err != nil {
		return nil, err
	}
	out := &fileClient{Conn: c}
	if _, err := c.Write(newPacket(sftpInit).u32(3).bytes()); err != nil {
		return nil, err
	}
	kind, _, err := readPacket(c)
	if err == nil && kind != sftpVersion {
		err = fmt.Errorf("packet of kind %d in place of the version", kind)
	}
	return out, err
}

// call sends a command and returns its answer. build adds the command's fields.
func (c *fileClient) call(kind byte, build func(p *packet)) (answer byte, rest *packetReader, err error) {
	c.id++
	p := newPacket(kind).u32(c.id)
	build(p)
	c.intact = false
	c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := c.Write(p.bytes()); err != nil {
		return 0, nil, err
	}
	answer, rest, err = readPacket(c)
	if err == nil && rest.u32() != c.id {
		err = errors.New("an answer to another command")
	}
	c.intact = err == nil
	return answer, rest, err
}

// readFile looks at a file, opens it, reads its beginning and closes it.
func (c *fileClient) readFile(path string) (string, error) {
	kind, p, err := c.call(sftpLstat, func(p *packet) { p.text(path) })
	if err != nil {
		return "", err
	}
	if kind != sftpAttrs {
		return "", fmt.Errorf("lstat %s: packet of kind %d, status %d, %s", path, kind, p.u32(), p.text())
	}
	handle, err := c.open(path, openForRead)
	if err != nil {
		return "", err
	}
	content, err := c.read(handle, 0, 1000)
	if err != nil {
		return "", err
	}
	_, _, err = c.call(sftpClose, func(p *packet) { p.text(handle) })
	return content, err
}

func (c *fileClient) open(path string, flags uint32) (string, error) {
	kind, p, err := c.call(sftpOpen, func(p *packet) { p.text(path).u32(flags).u32(0) })
	if err != nil {
		return "", err
	}
	if kind != sftpHandle {
		return "", fmt.Errorf("open %s: status %d, %s", path, p.u32(), p.text())
	}
	return p.text(), nil
}

func (c *fileClient) read(handle string, offset uint64, length uint32) (string, error) {
	kind, p, err := c.call(sftpRead, func(p *packet) { p.text(handle).u64(offset).u32(length) })
	if err != nil {
		return "", err
	}
	if kind != sftpData {
		return "", fmt.Errorf("read: status %d, %s", p.u32(), p.text())
	}
	return p.text(), nil
}

// applianceFile is an operator's file as in deploy/appliance.toml.
const applianceFile = `[limits]
memory_mb = 192
sockets = 1024
open = 256
tries = 4
connect = "250ms"
node_idle = "15s"
retry_after = "2s"
[sftp]
listen = %q
unit_bytes = 16384
bulk_bytes = 32768
[log]
level = "debug"
[console]
socket = %q
[classes.read]
within = "300ms"
wait = "2.5s"
worth = 2.0
[classes.write]
within = "400ms"
wait = "2s"
worth = 2.0
repeat = "keyed"
window = "3s"
[classes.bulk-read]
within = "2s"
wait = "6s"
worth = 1.0
[[plans]]
name = "team"
weight = 1.0
[[nodes]]
name = "node-a"
sftp = %q
shard = 0
[[projects]]
name = "riverside"
prefix = "/riverside"
plan = "team"
shard = 0
`

// startAppliance starts an appliance before one storage node, and returns the address for SFTP clients.
func (r *run) startAppliance(node string) (addr string, f *front, err error) {
	if addr, err = freeAddr(); err != nil {
		return "", nil, err
	}
	path := filepath.Join(r.folder, "appliance.toml")
	text := fmt.Sprintf(applianceFile, addr, filepath.Join(r.folder, "console.sock"), node)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return "", nil, err
	}
	f = &front{name: "appliance", ended: make(chan struct{}), cmd: exec.Command("bin/otterturn", "serve", "--config", path)}
	f.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.launch(f); err != nil {
		return "", nil, err
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if c, err := net.Dial("tcp", addr); err == nil {
			c.Close()
			return addr, f, nil
		}
	}
	return "", nil, errors.New("the appliance does not accept clients")
}
