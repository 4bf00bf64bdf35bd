// Package sftp is the front for SFTP: it serves SFTP version 3 over TCP or TLS to clients, and sends their commands to nodes over TCP.
package sftp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"

	"github.com/pkg/sftp"

	"otterturn/internal/limits"
	"otterturn/internal/memory"
	files "otterturn/internal/net/protocol/sftp"
	"otterturn/internal/net/transport/nodes"
	"otterturn/scheduler"
)

// errAnswerTooLong reports that a node's answer exceeds the limit on its size.
var errAnswerTooLong = errors.New("node's answer is too long")

// errUnexpectedAnswer reports an answer of a node that has the wrong type for the command.
var errUnexpectedAnswer = errors.New("node's answer does not fit the command")

// errAbandoned reports that nothing more may be sent on a connection whose command has ended without an answer.
var errAbandoned = errors.New("the attempt has been abandoned")

// Client sends commands to nodes, one at a time per connection.
type Client struct {
	*nodes.Pool[*session]
	lateAnswers chan struct{}  // holds one element per connection that is kept for the late answer to a change
	lateData    *memory.Budget // of the data of these changes
}

// session is an SFTP session with a node.
type session struct {
	*sftp.Client
	countingConn *countingConn
	dead         atomic.Bool
}

// countingConn counts the bytes of an exchange on a connection and limits those of an answer.
type countingConn struct {
	net.Conn
	maxRead     int64
	written     atomic.Int64 // bytes since the start of the exchange
	read        atomic.Int64
	abandoned   atomic.Bool // nothing more may be written
	onFirstByte func()      // called after the first byte of the current exchange was written
}

// beginExchange restarts the counts. onFirstByte is called after the first byte was written.
func (c *countingConn) beginExchange(onFirstByte func()) {
	c.onFirstByte = onFirstByte
	c.written.Store(0)
	c.read.Store(0)
}

func (c *countingConn) Write(b []byte) (int, error) {
	if c.abandoned.Load() {
		return 0, errAbandoned
	}
	n, err := c.Conn.Write(b)
	if n > 0 && c.written.Add(int64(n)) == int64(n) {
		c.onFirstByte()
	}
	return n, err
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.read.Add(int64(n)) > c.maxRead {
		return 0, errAnswerTooLong // an endless listing must not exhaust the memory
	}
	return n, err
}

// NewClient returns a client without nodes.
func NewClient(l limits.Limits) *Client {
	return &Client{lateAnswers: make(chan struct{}, l.Files.LateAnswers), lateData: memory.NewBudget(l.Memory.Late), Pool: nodes.New(l, nodes.Session[*session]{
		Open: func(c net.Conn) (*session, error) {
			wire := &countingConn{Conn: c, maxRead: l.Files.ResponseBytes, onFirstByte: func() {}}
			client, err := sftp.NewClientPipe(wire, wire)
			if err != nil {
				return nil, fmt.Errorf("open SFTP session: %w", err)
			}
			s := &session{Client: client, countingConn: wire}
			go func() {
				client.Wait()
				s.dead.Store(true)
			}()
			return s, nil
		},
		Alive: func(_ net.Conn, s *session) bool { return !s.dead.Load() },
	})}
}

// Probe returns the health check of a node: whether it answers at all. SFTP has no load report.
func (c *Client) Probe(l limits.Limits) func(node string) scheduler.HealthChecked {
	return func(node string) scheduler.HealthChecked {
		out := scheduler.HealthChecked{Node: node, Queue: -1}
		ctx, cancel := context.WithTimeout(context.Background(), l.Nodes.ProbeTimeout)
		defer cancel()
		conn, err := c.Acquire(ctx, node, nodes.AnyState)
		if err != nil {
			return out
		}
		conn.Session.countingConn.beginExchange(func() {})
		stopClose := context.AfterFunc(ctx, func() { conn.Close() })
		_, err = conn.Session.RealPath("/")
		_, broken := files.ClassifyNodeError(err)
		out.OK = !broken
		c.Release(conn, stopClose() && !broken)
		return out
	}
}
