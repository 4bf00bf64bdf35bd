package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["sftp-write"] = sftpWrite }

// Packets of SFTP version 3 (draft-ietf-secsh-filexfer-02), as far as a case needs them.
const (
	sftpInit    = 1
	sftpVersion = 2
	sftpOpen    = 3
	sftpClose   = 4
	sftpRead    = 5
	sftpWritten = 6
	sftpLstat   = 7
	sftpReal    = 16
	sftpStat    = 17
	sftpStatus  = 101
	sftpHandle  = 102
	sftpData    = 103
	sftpName    = 104
	sftpAttrs   = 105
)

type packet struct{ b []byte }

func (p *packet) u8(v byte) *packet    { p.b = append(p.b, v); return p }
func (p *packet) u32(v uint32) *packet { p.b = binary.BigEndian.AppendUint32(p.b, v); return p }
func (p *packet) u64(v uint64) *packet { p.b = binary.BigEndian.AppendUint64(p.b, v); return p }
func (p *packet) str(s string) *packet { p.u32(uint32(len(s))); p.b = append(p.b, s...); return p }
func (p *packet) next32() (v uint32)   { v = binary.BigEndian.Uint32(p.b); p.b = p.b[4:]; return v }
func (p *packet) next64() (v uint64)   { v = binary.BigEndian.Uint64(p.b); p.b = p.b[8:]; return v }
func (p *packet) nextStr() (s string)  { n := p.next32(); s = string(p.b[:n]); p.b = p.b[n:]; return s }

func (p *packet) send(w io.Writer) error {
	_, err := w.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(p.b))), p.b...))
	return err
}

func receive(r io.Reader) (kind byte, p *packet, err error) {
	var head [4]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	p = &packet{make([]byte, binary.BigEndian.Uint32(head[:]))}
	if _, err = io.ReadFull(r, p.b); err != nil || len(p.b) == 0 {
		return 0, nil, errors.Join(err, io.ErrUnexpectedEOF)
	}
	kind, p.b = p.b[0], p.b[1:]
	return kind, p, nil
}

// fileNode is the stand-in for a storage node that speaks SFTP: it keeps files in memory and serves each connection in turn. What it
// has begun it finishes, also when the connection is reset meanwhile.
type fileNode struct {
	play *play
	addr string
	// slow returns how long the work of a write takes, and after how much of it the connection is reset (0 for never).
	slow func(n int, data string) (work, reset time.Duration)

	mu     sync.Mutex
	files  map[string][]byte
	writes int
}

func (p *play) newFileNode(slow func(int, string) (time.Duration, time.Duration)) (*fileNode, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, cannotRun("%v", err)
	}
	n := &fileNode{play: p, addr: l.Addr().String(), slow: slow, files: map[string][]byte{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(c.(*net.TCPConn))
		}
	}()
	return n, nil
}

func (n *fileNode) serve(c *net.TCPConn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		kind, p, err := receive(in)
		if err != nil {
			return
		}
		if kind == sftpInit {
			(&packet{}).u8(sftpVersion).u32(3).send(c)
			continue
		}
		n.answer(c, kind, p.next32(), p).send(c)
	}
}

func statusPacket(id, code uint32) *packet {
	return (&packet{}).u8(sftpStatus).u32(id).u32(code).str("").str("")
}

func (n *fileNode) answer(c *net.TCPConn, kind byte, id uint32, p *packet) *packet {
	const attrSize, flagCreate, flagTrunc = 1, 8, 16
	n.mu.Lock()
	defer n.mu.Unlock()
	switch kind {
	case sftpReal:
		return (&packet{}).u8(sftpName).u32(id).u32(1).str("/").str("/").u32(0)
	case sftpStat, sftpLstat:
		data, found := n.files[p.nextStr()]
		if !found {
			return statusPacket(id, 2)
		}
		return (&packet{}).u8(sftpAttrs).u32(id).u32(attrSize).u64(uint64(len(data)))
	case sftpOpen:
		name, flags := p.nextStr(), p.next32()
		if _, found := n.files[name]; !found && flags&flagCreate == 0 {
			return statusPacket(id, 2)
		} else if !found || flags&flagTrunc != 0 {
			n.files[name] = nil
		}
		return (&packet{}).u8(sftpHandle).u32(id).str(name)
	case sftpClose:
		return statusPacket(id, 0)
	case sftpRead:
		data, offset, length := n.files[p.nextStr()], p.next64(), p.next32()
		if offset >= uint64(len(data)) {
			return statusPacket(id, 1)
		}
		return (&packet{}).u8(sftpData).u32(id).str(string(data[offset:min(uint64(len(data)), offset+uint64(length))]))
	case sftpWritten:
		name, offset, data := p.nextStr(), p.next64(), p.nextStr()
		n.writes++
		number := n.writes
		work, reset := n.slow(number, data)
		n.play.say("node: write %d of %.12q... to %s at %d begins, %v of work", number, data, name, offset, work)
		if reset > 0 {
			time.AfterFunc(reset, func() {
				n.play.say("node: the connection of write %d is reset, its work goes on", number)
				c.SetLinger(0)
				c.Close()
			})
		}
		n.mu.Unlock()
		time.Sleep(work)
		n.mu.Lock()
		if need := int(offset) + len(data); need > len(n.files[name]) {
			n.files[name] = append(n.files[name], make([]byte, need-len(n.files[name]))...)
		}
		copy(n.files[name][offset:], data)
		n.play.say("node: write %d of %.12q... is done", number, data)
		return statusPacket(id, 0)
	}
	return statusPacket(id, 8)
}

// fileClient is a client of the appliance's SFTP front, with one command at a time.
type fileClient struct {
	play *play
	c    net.Conn
	in   *bufio.Reader
	id   uint32
}

func (p *play) newFileClient(addr string) (*fileClient, error) {
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.SetDeadline(time.Now().Add(60 * time.Second))
			k := &fileClient{play: p, c: c, in: bufio.NewReader(c)}
			(&packet{}).u8(sftpInit).u32(3).send(c)
			if _, _, err = receive(k.in); err == nil {
				return k, nil
			}
		}
		if time.Now().After(end) {
			return nil, cannotRun("the SFTP front: %v", err)
		}
	}
}

// do sends a command and returns the answer; code is that of a status, 0 for any other answer.
func (k *fileClient) do(kind byte, build func(p *packet)) (answer *packet, code uint32, text string, err error) {
	k.id++
	p := (&packet{}).u8(kind).u32(k.id)
	build(p)
	if err := p.send(k.c); err != nil {
		return nil, 0, "", err
	}
	got, answer, err := receive(k.in)
	if err != nil {
		return nil, 0, "", err
	}
	answer.next32()
	if got == sftpStatus {
		code = answer.next32()
		text = answer.nextStr()
	}
	return answer, code, text, nil
}

// sftpWrite: a client writes a record, then writes it anew; both are answered with OK. The connection to the node is reset while the
// first write is being worked on. In the end the file has to hold the second one.
func sftpWrite(p *play) error {
	const rounds, size = 5, 4096
	first := func(round int) string { return fmt.Sprintf("old record %d %s", round, strings.Repeat("o", size-13)) }
	second := func(round int) string { return fmt.Sprintf("new record %d %s", round, strings.Repeat("n", size-13)) }
	begun := map[string]int{}
	n, err := p.newFileNode(func(_ int, data string) (work, reset time.Duration) {
		begun[data]++
		if strings.HasPrefix(data, "old") && begun[data] == 1 {
			work = 640 * time.Millisecond // a costly request: 7.2 times the 90 ms of a write
			if p.trouble {
				reset = 100 * time.Millisecond
			}
			return work, reset
		}
		return 20 * time.Millisecond, 0
	})
	if err != nil {
		return err
	}
	addr := freeAddr()
	text, err := os.ReadFile(filepath.Join(p.root, "deploy", "appliance.toml"))
	if err != nil {
		return cannotRun("%v", err)
	}
	config := strings.NewReplacer("127.0.0.1:2022", addr, "127.0.0.1:3022", n.addr, "127.0.0.1:3023", n.addr,
		"/tmp/otterturn.sock", filepath.Join(p.dir, "console.sock")).Replace(string(text))
	path := filepath.Join(p.dir, "appliance.toml")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		return err
	}
	if _, err := p.start("appliance", "exec bin/otterturn serve --config "+path, nil, nil); err != nil {
		return err
	}
	k, err := p.newFileClient(addr)
	if err != nil {
		return err
	}
	defer k.c.Close()
	for round := range rounds {
		name := fmt.Sprintf("/riverside/record-%d", round)
		answer, code, why, err := k.do(sftpOpen, func(p *packet) { p.str(name).u32(1 | 2 | 8).u32(0) })
		if err != nil || code != 0 {
			return cannotRun("open: %d %s %v", code, why, err)
		}
		handle := answer.nextStr()
		acknowledged := ""
		for _, data := range []string{first(round), second(round)} {
			_, code, why, err := k.do(sftpWritten, func(p *packet) { p.str(handle).u64(0).str(data) })
			p.say("client: write of %.12q... to %s: status %d %s %v", data, name, code, why, err)
			if err != nil {
				return cannotRun("write: %v", err)
			}
			if code != 0 { // said to have failed: the file may hold either, and the handle is of no more use
				acknowledged = ""
				break
			}
			acknowledged = data
		}
		_, code, why, err = k.do(sftpClose, func(p *packet) { p.str(handle) })
		p.say("client: close of %s: status %d %s %v", name, code, why, err)
		time.Sleep(1200 * time.Millisecond) // all work has ended
		answer, code, _, err = k.do(sftpOpen, func(p *packet) { p.str(name).u32(1).u32(0) })
		if err != nil || code != 0 {
			return cannotRun("open for reading: %d %v", code, err)
		}
		handle = answer.nextStr()
		answer, code, _, err = k.do(sftpRead, func(p *packet) { p.str(handle).u64(0).u32(size) })
		if err != nil || code != 0 {
			return cannotRun("read: %d %v", code, err)
		}
		data := answer.nextStr()
		k.do(sftpClose, func(p *packet) { p.str(handle) })
		p.say("client: %s holds %.12q...", name, data)
		if acknowledged != "" && data != acknowledged {
			p.breaks("%s holds %.12q..., though the write of %.12q... was answered with OK last", name, data, acknowledged)
		}
	}
	return nil
}
