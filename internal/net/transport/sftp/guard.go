package sftp

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"otterturn/internal/limits"
)

// errLeft tells that a client's connection has ended.
var errLeft = errors.New("the client has left")

// guard is a client's connection as the library reads it: with a deadline on every read and write, and with
// packets bounded. The library takes packets of 256 KiB, and two dozen of them wait for a node at a time.
type guard struct {
	net.Conn
	limits limits.Limits
	left   context.CancelCauseFunc
	head   [4]byte
	have   int    // bytes of the head that came
	rest   uint32 // bytes of the packet still to come
}

// Read reads no further than the end of a packet's head or of the packet. Where it fails the client has left:
// the library itself would tell the commands that are out only once they are answered.
func (g *guard) Read(p []byte) (int, error) {
	n, err := g.next(p)
	if err != nil {
		g.left(fmt.Errorf("%w: %w", errLeft, err))
	}
	return n, err
}

func (g *guard) next(p []byte) (int, error) {
	if err := g.SetReadDeadline(time.Now().Add(g.limits.FileIdle)); err != nil {
		return 0, err
	}
	if g.rest > 0 {
		n, err := g.Conn.Read(p[:min(len(p), int(g.rest))])
		g.rest -= uint32(n)
		return n, err
	}
	n, err := g.Conn.Read(p[:min(len(p), len(g.head)-g.have)])
	g.have += copy(g.head[g.have:], p[:n])
	if g.have < len(g.head) {
		return n, err
	}
	g.rest, g.have = binary.BigEndian.Uint32(g.head[:]), 0
	if g.rest > uint32(g.limits.FilePacket) {
		return 0, fmt.Errorf("a packet of %d bytes: %w", g.rest, io.ErrShortBuffer)
	}
	return n, err
}

func (g *guard) Write(p []byte) (int, error) {
	if err := g.SetWriteDeadline(time.Now().Add(g.limits.WriteAnswer)); err != nil {
		return 0, err
	}
	return g.Conn.Write(p)
}
