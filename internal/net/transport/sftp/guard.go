package sftp

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"otterturn/internal/limits"
)

// errLeft tells that a client's connection has ended.
var errLeft = errors.New("the client has left")

// frames follows the packets in a stream: four bytes of length, then as many bytes.
type frames struct {
	head [4]byte
	have int    // bytes of the head that came
	rest uint32 // bytes of the packet still to come
}

// next is how many of the bytes asked for may be read without passing the end of a head or of a packet.
func (f *frames) next(asked int) int {
	if f.rest > 0 {
		return min(asked, int(f.rest))
	}
	return min(asked, len(f.head)-f.have)
}

// pass takes in bytes within next and tells whether they end a packet.
func (f *frames) pass(p []byte) (whole bool) {
	if f.rest > 0 {
		f.rest -= uint32(len(p))
		return f.rest == 0
	}
	f.have += copy(f.head[f.have:], p)
	if f.have == len(f.head) {
		f.rest, f.have = binary.BigEndian.Uint32(f.head[:]), 0
	}
	return false
}

// guard is a client's connection as the library reads it: with a deadline on every read and write, and with
// packets bounded. The library takes packets of 256 KiB, and two dozen of them wait for a node at a time.
type guard struct {
	net.Conn
	limits   limits.Limits
	left     context.CancelCauseFunc
	in, out  frames
	owed     atomic.Int64  // commands that came whole and are not answered
	answered chan struct{} // an answer was written; holds one
	stopping atomic.Bool
}

func newGuard(c net.Conn, l limits.Limits, left context.CancelCauseFunc) *guard {
	return &guard{Conn: c, limits: l, left: left, answered: make(chan struct{}, 1)}
}

// Read reads no further than the end of a packet's head or of the packet. Where it fails the client has left:
// the library itself would tell the commands that are out only once they are answered.
func (g *guard) Read(p []byte) (int, error) {
	n, err := g.next(p)
	switch {
	case err != nil && g.stopping.Load():
		return 0, g.settle()
	case err != nil:
		g.left(fmt.Errorf("%w: %w", errLeft, err))
	}
	return n, err
}

func (g *guard) next(p []byte) (int, error) {
	if err := g.SetReadDeadline(time.Now().Add(g.limits.FileIdle)); err != nil {
		return 0, err
	}
	if g.stopping.Load() { // after the deadline is set, as stop sets one too
		return 0, io.EOF
	}
	n, err := g.Conn.Read(p[:g.in.next(len(p))])
	if g.in.pass(p[:n]) {
		g.owed.Add(1)
	}
	if g.in.rest > uint32(g.limits.FilePacket) {
		return 0, fmt.Errorf("a packet of %d bytes: %w", g.in.rest, io.ErrShortBuffer)
	}
	return n, err
}

func (g *guard) Write(p []byte) (int, error) {
	if err := g.SetWriteDeadline(time.Now().Add(g.limits.WriteAnswer)); err != nil {
		return 0, err
	}
	n, err := g.Conn.Write(p)
	for p = p[:n]; len(p) > 0; {
		part := g.out.next(len(p))
		if g.out.pass(p[:part]) {
			g.owed.Add(-1)
			select {
			case g.answered <- struct{}{}:
			default:
			}
		}
		p = p[part:]
	}
	return n, err
}

// stop takes no further command; what came whole is answered first.
func (g *guard) stop() {
	g.stopping.Store(true)
	g.SetReadDeadline(time.Unix(1, 0))
}

// settle waits until every command is answered. Told of the end before, the library drops answers that are
// ready but not yet written.
func (g *guard) settle() error {
	late := time.NewTimer(g.limits.StopAtMost)
	defer late.Stop()
	for g.owed.Load() > 0 {
		select {
		case <-g.answered:
		case <-late.C:
			g.left(errLeft)
			return io.ErrUnexpectedEOF
		}
	}
	return io.EOF
}

// Close ends the connection. Where the front stops, the client is let read what was written: unread commands in
// the kernel would otherwise have it reset.
func (g *guard) Close() error {
	if t, ok := g.Conn.(*net.TCPConn); ok && g.stopping.Load() && t.CloseWrite() == nil {
		t.SetReadDeadline(time.Now().Add(g.limits.StopLinger))
		io.Copy(io.Discard, t)
	}
	return g.Conn.Close()
}
