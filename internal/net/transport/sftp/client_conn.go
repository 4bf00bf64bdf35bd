package sftp

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"otterturn/internal/lifecycle"
	files "otterturn/internal/net/protocol/sftp"
	"otterturn/internal/net/protocol/sftp/packet"
	"otterturn/internal/net/routing"
	"otterturn/scheduler"
)

// errClientGone reports that a client's connection has ended. Its text can be part of SFTP status texts (WriteFailed).
var errClientGone = errors.New("the client has left")

// errStopping reports that the front accepts no more commands.
var errStopping = errors.New("the front is stopping")

// clientConn is one client's connection. One goroutine reads its packets in order and accepts each when it may run; each accepted
// command runs in a goroutine of its own. Reads and writes run in parallel, because clients send many ahead. Any other command
// waits for all earlier ones and delays all later ones. A close therefore knows the results of all writes, and the table of
// handles needs no lock.
type clientConn struct {
	front         *Front
	conn          net.Conn
	in            *bufio.Reader // its buffer holds the next packet completely
	ctx           context.Context
	cancel        context.CancelCauseFunc // ends ctx: the client has disconnected, its commands are cancelled
	accepting     context.Context
	stopAccepting context.CancelCauseFunc // ends accepting: no further commands are accepted
	stopping      atomic.Bool
	inProgress    sync.WaitGroup // commands in progress
	exclusive     bool           // the command in progress must run alone
	transferSlots chan struct{}  // holds one element per read or write in progress
	handles       map[string]handle
	handleCount   int // number of handles opened so far
	writeMu       sync.Mutex
}

func newClientConn(f *Front, c net.Conn) *clientConn {
	client := &clientConn{
		front: f, conn: c, in: bufio.NewReaderSize(c, lengthBytes+f.limits.Files.PacketBytes),
		handles: map[string]handle{}, transferSlots: make(chan struct{}, f.limits.Files.Transfers),
	}
	client.ctx, client.cancel = context.WithCancelCause(context.Background())
	client.accepting, client.stopAccepting = context.WithCancelCause(client.ctx)
	return client
}

// serve serves the client until it disconnects, sends a malformed packet or the front stops.
func (c *clientConn) serve() {
	ended := make(chan struct{})
	defer close(ended)
	go c.watchDisconnect(ended)
	err := c.openSession()
	for err == nil {
		err = c.handleNext()
	}
	if !c.stopping.Load() {
		c.cancel(fmt.Errorf("%w: %w", errClientGone, err))
	}
	c.inProgress.Wait() // each command ends by its deadline
	c.releaseHandles()
	c.close()
	c.cancel(errClientGone)
}

// openSession reads and answers the packet that opens the session.
func (c *clientConn) openSession() error {
	body, err := c.peek()
	if err != nil {
		return err
	}
	if len(body) == 0 || packet.Kind(body[0]) != packet.Init {
		return packet.ErrMalformed
	}
	if err := c.consume(len(body)); err != nil {
		return err
	}
	return c.send(packet.EncodeVersion(packet.Pair{Name: packet.PosixRename, Data: "1"}))
}

// handleNext handles one more packet. While the packet waits until it may run, nothing more is read from the connection, so that
// TCP flow control slows the client down.
func (c *clientConn) handleNext() error {
	body, err := c.peek()
	if err != nil {
		return err
	}
	r, err := packet.Parse(body)
	if err != nil {
		return err
	}
	transfer := r.Kind == packet.Read || r.Kind == packet.Write
	if !transfer || c.exclusive {
		c.inProgress.Wait()
	}
	c.exclusive = !transfer
	if transfer {
		return c.startTransfer(r, len(body))
	}
	if err := c.consume(len(body)); err != nil {
		return err
	}
	c.inProgress.Go(func() { c.send(c.execute(r)) })
	return nil
}

// lengthBytes is the size of the length field before each packet.
const lengthBytes = 4

// peek waits until the next packet has arrived completely and returns it without its length. The packet stays in the buffer.
func (c *clientConn) peek() ([]byte, error) {
	if err := c.extendReadDeadline(); err != nil {
		return nil, err
	}
	head, err := c.in.Peek(lengthBytes)
	if err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head)
	if n == 0 || n > uint32(c.front.limits.Files.PacketBytes) {
		return nil, fmt.Errorf("%w: %d bytes, at most %d are taken", packet.ErrMalformed, n, c.front.limits.Files.PacketBytes)
	}
	if err := c.extendReadDeadline(); err != nil {
		return nil, err
	}
	packetBytes, err := c.in.Peek(lengthBytes + int(n))
	if err != nil {
		return nil, err
	}
	return packetBytes[lengthBytes:], nil
}

// extendReadDeadline restarts the time for which the client may be silent.
func (c *clientConn) extendReadDeadline() error {
	err := c.conn.SetReadDeadline(time.Now().Add(c.front.limits.Files.IdleTimeout))
	if c.stopping.Load() { // checked after the deadline was set, because stop sets one as well
		return errStopping
	}
	return err
}

// consume removes the packet that peek returned from the buffer. From then on the client must get an answer to it.
func (c *clientConn) consume(size int) error {
	if c.accepting.Err() != nil {
		return context.Cause(c.accepting)
	}
	_, err := c.in.Discard(lengthBytes + size)
	return err
}

// send writes an answer. If that fails, it treats the client as disconnected.
func (c *clientConn) send(answer []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	guard := c.front.core.Guard
	err := c.conn.SetWriteDeadline(time.Now().Add(guard.BeforeKill(c.front.limits.Clients.WriteTimeout)))
	if err == nil {
		_, err = c.conn.Write(answer)
	}
	guard.CheckDeadline(lifecycle.Answer, time.Time{})
	if err != nil {
		c.cancel(fmt.Errorf("%w: %w", errClientGone, err))
	}
	return err
}

// stop ends the acceptance of commands. Those already accepted are still answered.
func (c *clientConn) stop() {
	c.stopping.Store(true)
	c.stopAccepting(errStopping)
	c.conn.SetReadDeadline(time.Unix(1, 0))
}

// close closes the connection. When the front stops, it first lets the client read the last answers: closing a connection with
// unread commands would reset it, and the client could lose these answers.
func (c *clientConn) close() {
	halfCloser, ok := c.conn.(interface{ CloseWrite() error }) // both TCP and TLS have it
	if ok && c.stopping.Load() && halfCloser.CloseWrite() == nil {
		c.conn.SetReadDeadline(time.Now().Add(c.front.core.Guard.BeforeKill(c.front.limits.Files.LastAnswerTimeout)))
		io.Copy(io.Discard, c.conn)
	}
	c.conn.Close()
}

// submit executes one command of a kind that clients don't send ahead, as one request of the scheduler, which may reject it.
func (c *clientConn) submit(cmd files.Command) (files.Reply, error) {
	f := c.front
	request, counts, err := f.request(cmd)
	if err != nil {
		return files.Reply{}, err
	}
	var change *pendingChange
	if cmd.Changes() {
		if change, err = c.beginChange(cmd, &request); err != nil {
			counts.add(err)
			return files.Reply{}, err
		}
		defer change.complete()
	}
	select {
	case f.slots <- struct{}{}:
		defer func() { <-f.slots }()
	default:
		rejected := &routing.RejectedError{RetryAfter: f.site.RetryAfter}
		counts.add(rejected)
		return files.Reply{}, rejected
	}
	reply, err := routing.Do(c.ctx, f.core, request, c.attemptFunc(cmd, change))
	counts.add(err)
	if err == nil {
		err = reply.Err
	}
	return reply, err
}

// beginChange waits until a change may be sent, for half of its time left at most, and reduces its time left by the wait.
func (c *clientConn) beginChange(cmd files.Command, request *scheduler.Request) (*pendingChange, error) {
	start := time.Now()
	timeLeft := time.Duration(request.TimeLeft) * time.Microsecond
	ctx, cancel := context.WithTimeoutCause(c.ctx, timeLeft/2, &routing.RejectedError{RetryAfter: c.front.site.RetryAfter})
	defer cancel()
	change, err := c.front.changes.begin(ctx, cmd.Change(), request.Volume)
	request.TimeLeft -= scheduler.Micros(time.Since(start) / time.Microsecond)
	return change, err
}
