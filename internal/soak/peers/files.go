package peers

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"otterturn/internal/soak/audit"
)

// Packet types and status codes of SFTP version 3 (draft-ietf-secsh-filexfer-02), as far as the soak uses them.
const (
	packetInit        = 1
	packetVersion     = 2
	packetMkdir       = 14
	packetStatus      = 101
	statusOK          = 0
	statusUnsupported = 8
	sftpVersion       = 3
	maxPacket         = 1 << 18
)

// readPacket reads a packet and returns its type and its body.
func readPacket(in io.Reader) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return 0, nil, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length == 0 || length > maxPacket {
		return 0, nil, fmt.Errorf("SFTP packet length %d is out of range", length)
	}
	body = make([]byte, length-1)
	_, err = io.ReadFull(in, body)
	return head[4], body, err
}

func newPacket(kind byte, body []byte) []byte {
	out := binary.BigEndian.AppendUint32(nil, uint32(len(body)+1))
	return append(append(out, kind), body...)
}

func appendString(body []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(body, uint32(len(s))), s...)
}

// FileServer is a storage node that speaks SFTP and creates folders, a command that must not be executed twice.
type FileServer struct {
	Addr     string
	clock    Clock
	record   *audit.Record
	listener net.Listener
	mu       sync.Mutex
	delay    time.Duration
}

// NewFileServer starts a file server.
func NewFileServer(clock Clock, record *audit.Record) (*FileServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &FileServer{Addr: l.Addr().String(), clock: clock, record: record, listener: l, delay: Healthy.Delay}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				s.serve(c)
			}()
		}
	}()
	return s, nil
}

// Close stops accepting connections.
func (s *FileServer) Close() { s.listener.Close() }

// SetDelay sets the delay of answers from now on.
func (s *FileServer) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

func (s *FileServer) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		kind, body, err := readPacket(in)
		if err != nil {
			return
		}
		if kind == packetInit {
			c.Write(newPacket(packetVersion, binary.BigEndian.AppendUint32(nil, sftpVersion)))
			continue
		}
		status := uint32(statusUnsupported)
		if kind == packetMkdir && len(body) > 8 {
			status = statusOK
			length := binary.BigEndian.Uint32(body[4:8])
			a := audit.Attempt{ID: string(body[8 : 8+length]), Node: s.Addr, FirstByte: s.clock(), LastByte: s.clock(), TimeLeft: -1}
			s.mu.Lock()
			delay := s.delay
			s.mu.Unlock()
			c.SetReadDeadline(time.Now().Add(delay))
			_, err := in.Peek(1)
			c.SetReadDeadline(time.Time{})
			a.Ended = s.clock()
			s.record.AddAttempt(a)
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
		}
		answer := binary.BigEndian.AppendUint32(append([]byte(nil), body[:4]...), status)
		if _, err := c.Write(newPacket(packetStatus, appendString(appendString(answer, ""), ""))); err != nil {
			return
		}
	}
}

// FileClient creates folders through a front, one at a time.
type FileClient struct {
	Target func() Target
	Prefix string // path prefix of a project
	Clock  Clock
	Record *audit.Record
	Random *rand.Rand
}

// Run sends commands until ctx ends.
func (c *FileClient) Run(ctx context.Context) {
	for ctx.Err() == nil {
		t := c.Target()
		if t.Open {
			if conn, err := net.DialTimeout("tcp", t.Addr, time.Second); err == nil {
				c.session(ctx, conn, t)
				conn.Close()
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (c *FileClient) session(ctx context.Context, conn net.Conn, t Target) {
	in := bufio.NewReader(conn)
	conn.SetReadDeadline(time.Now().Add(t.Longest))
	conn.Write(newPacket(packetInit, binary.BigEndian.AppendUint32(nil, sftpVersion)))
	if kind, _, err := readPacket(in); err != nil || kind != packetVersion {
		return
	}
	for number := uint32(1); ctx.Err() == nil; number++ {
		path := fmt.Sprintf("%s/f%08x", c.Prefix, requestCount.Add(1))
		request := audit.Request{ID: path, Idempotency: audit.Once, Process: t.Process, Wait: t.Longest, Sent: c.Clock()}
		command := binary.BigEndian.AppendUint32(appendString(binary.BigEndian.AppendUint32(nil, number), path), 0)
		if _, err := conn.Write(newPacket(packetMkdir, command)); err != nil {
			return
		}
		conn.SetReadDeadline(time.Now().Add(t.Longest + lateReadTime))
		kind, _, err := readPacket(in)
		request.Ended = c.Clock()
		switch {
		case err == nil && kind == packetStatus:
			request.Ending = audit.Answered
		case errors.Is(err, os.ErrDeadlineExceeded):
		default:
			request.Ending = audit.Closed
		}
		c.Record.AddRequest(request)
		if request.Ending != audit.Answered {
			return
		}
		time.Sleep(time.Duration(c.Random.Int64N(int64(40 * time.Millisecond))))
	}
}
