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
)

// errLeft reports that a client's connection has ended.
var errLeft = errors.New("client has disconnected")

// errStopping reports that the front accepts no more commands.
var errStopping = errors.New("front is stopping")

// visitor is one client's connection. One goroutine reads its packets in order and accepts each when it may run; each accepted
// command runs in a goroutine of its own. Reads and writes run in parallel, because clients send many ahead. Any other command
// waits for all earlier ones and delays all later ones. A close therefore knows the results of all writes, and the table of
// handles needs no lock.
type visitor struct {
	front    *Front
	conn     net.Conn
	in       *bufio.Reader // its buffer holds the next packet completely
	ctx      context.Context
	left     context.CancelCauseFunc // ends ctx: the client has disconnected, its commands are cancelled
	taking   context.Context
	noMore   context.CancelCauseFunc // ends taking: no further commands are accepted
	stopping atomic.Bool
	under    sync.WaitGroup // commands in progress
	alone    bool           // the command in progress must run alone
	transfer chan struct{}  // holds one element per read or write in progress
	handles  map[string]handle
	opened   int // number of handles opened so far
	writing  sync.Mutex
}

func newVisitor(f *Front, c net.Conn) *visitor {
	v := &visitor{
		front: f, conn: c, in: bufio.NewReaderSize(c, lengthBytes+f.limits.Files.PacketBytes),
		handles: map[string]handle{}, transfer: make(chan struct{}, f.limits.Files.Transfers),
	}
	v.ctx, v.left = context.WithCancelCause(context.Background())
	v.taking, v.noMore = context.WithCancelCause(v.ctx)
	return v
}

// host serves the client until it disconnects, sends a malformed packet or the front stops.
func (v *visitor) host() {
	ended := make(chan struct{})
	defer close(ended)
	go v.watch(ended)
	err := v.greet()
	for err == nil {
		err = v.next()
	}
	if !v.stopping.Load() {
		v.left(fmt.Errorf("%w: %w", errLeft, err))
	}
	v.under.Wait() // each command ends by its deadline
	v.close()
	v.left(errLeft)
}

// greet reads and answers the packet that opens the session.
func (v *visitor) greet() error {
	body, err := v.look()
	if err != nil {
		return err
	}
	if len(body) == 0 || packet.Kind(body[0]) != packet.Init {
		return packet.ErrMalformed
	}
	if err := v.take(len(body)); err != nil {
		return err
	}
	return v.send(packet.EncodeVersion(packet.Pair{Name: packet.PosixRename, Data: "1"}))
}

// next handles one more packet. While the packet waits until it may run, nothing more is read from the connection, so that TCP
// flow control slows the client down.
func (v *visitor) next() error {
	body, err := v.look()
	if err != nil {
		return err
	}
	r, err := packet.Parse(body)
	if err != nil {
		return err
	}
	transfer := r.Kind == packet.Read || r.Kind == packet.Write
	if !transfer || v.alone {
		v.under.Wait()
	}
	v.alone = !transfer
	if transfer {
		return v.move(r, len(body))
	}
	if err := v.take(len(body)); err != nil {
		return err
	}
	v.under.Go(func() { v.send(v.answer(r)) })
	return nil
}

// lengthBytes is the size of the length field before each packet.
const lengthBytes = 4

// look waits until the next packet has arrived completely and returns it without its length. The packet stays in the buffer.
func (v *visitor) look() ([]byte, error) {
	if err := v.patient(); err != nil {
		return nil, err
	}
	head, err := v.in.Peek(lengthBytes)
	if err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head)
	if n == 0 || n > uint32(v.front.limits.Files.PacketBytes) {
		return nil, fmt.Errorf("%w: length is %d bytes, must be 1 to %d", packet.ErrMalformed, n, v.front.limits.Files.PacketBytes)
	}
	if err := v.patient(); err != nil {
		return nil, err
	}
	whole, err := v.in.Peek(lengthBytes + int(n))
	if err != nil {
		return nil, err
	}
	return whole[lengthBytes:], nil
}

// patient restarts the time for which the client may be silent.
func (v *visitor) patient() error {
	err := v.conn.SetReadDeadline(time.Now().Add(v.front.limits.Files.IdleTimeout))
	if v.stopping.Load() { // checked after the deadline was set, because stop sets one as well
		return errStopping
	}
	return err
}

// take removes the packet that look returned from the buffer. From then on the client must get an answer to it.
func (v *visitor) take(size int) error {
	if v.taking.Err() != nil {
		return context.Cause(v.taking)
	}
	_, err := v.in.Discard(lengthBytes + size)
	return err
}

// send writes an answer. If that fails, it treats the client as disconnected.
func (v *visitor) send(answer []byte) error {
	v.writing.Lock()
	defer v.writing.Unlock()
	guard := v.front.core.Guard
	err := v.conn.SetWriteDeadline(time.Now().Add(guard.BeforeKill(v.front.limits.Clients.WriteTimeout)))
	if err == nil {
		_, err = v.conn.Write(answer)
	}
	guard.Done(lifecycle.Answer, time.Time{})
	if err != nil {
		v.left(fmt.Errorf("%w: %w", errLeft, err))
	}
	return err
}

// stop ends the acceptance of commands. Those already accepted are still answered.
func (v *visitor) stop() {
	v.stopping.Store(true)
	v.noMore(errStopping)
	v.conn.SetReadDeadline(time.Unix(1, 0))
}

// close closes the connection. When the front stops, it first lets the client read the last answers: closing a connection with
// unread commands would reset it, and the client could lose these answers.
func (v *visitor) close() {
	half, ok := v.conn.(interface{ CloseWrite() error }) // both TCP and TLS have it
	if ok && v.stopping.Load() && half.CloseWrite() == nil {
		v.conn.SetReadDeadline(time.Now().Add(v.front.core.Guard.BeforeKill(v.front.limits.Files.LastAnswerTimeout)))
		io.Copy(io.Discard, v.conn)
	}
	v.conn.Close()
}

// do executes one command of a kind that clients don't send ahead, as one request of the scheduler, which may reject it.
func (v *visitor) do(cmd files.Command) (files.Reply, error) {
	f := v.front
	request, count, err := f.request(cmd)
	if err != nil {
		return files.Reply{}, err
	}
	select {
	case f.room <- struct{}{}:
		defer func() { <-f.room }()
	default:
		full := &routing.RejectedError{RetryAfter: f.site.Retry}
		count.add(full)
		return files.Reply{}, full
	}
	reply, err := routing.Do(v.ctx, f.core, request, v.tried(cmd))
	count.add(err)
	if err == nil {
		err = reply.Err
	}
	return reply, err
}
