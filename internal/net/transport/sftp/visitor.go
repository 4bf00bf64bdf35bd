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

// errLeft tells that a client's connection has ended.
var errLeft = errors.New("the client has left")

// errStopping tells that the front takes nothing more.
var errStopping = errors.New("the front is stopping")

// visitor is one client's connection. One goroutine looks at its packets in turn and takes each once its time has
// come; each taken command runs in one of its own. Reads and writes run side by side, as clients send many ahead.
// Anything else waits for all before it and holds up all behind it, so a close knows how every write ended, and
// the table of handles needs no lock.
type visitor struct {
	front    *Front
	conn     net.Conn
	in       *bufio.Reader // holds the next packet whole
	ctx      context.Context
	left     context.CancelCauseFunc // ends ctx: the client is gone, what is out for it has lapsed
	taking   context.Context
	noMore   context.CancelCauseFunc // ends taking: what is not taken yet never will be
	stopping atomic.Bool
	under    sync.WaitGroup // commands under way
	alone    bool           // the one under way goes alone
	transfer chan struct{}  // holds one for each read and write under way
	handles  map[string]handle
	opened   int // handles so far
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

// host serves the client until it leaves, breaks the packet format or the front stops.
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
	v.under.Wait() // each ends by its deadline
	v.close()
	v.left(errLeft)
}

// greet answers the packet that opens a session.
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

// next has one more packet carried out. While it waits for its time the packet is not taken: nothing more is read
// from the connection, so the client notices that it is ahead.
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

// lengthBytes stand ahead of each packet.
const lengthBytes = 4

// look waits until the next packet is here whole, and returns it without its length. It is not taken yet.
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
		return nil, fmt.Errorf("%w: %d bytes, at most %d are taken", packet.ErrMalformed, n, v.front.limits.Files.PacketBytes)
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

// patient starts the time that the client may be silent.
func (v *visitor) patient() error {
	err := v.conn.SetReadDeadline(time.Now().Add(v.front.limits.Files.IdleTimeout))
	if v.stopping.Load() { // after the deadline is set, as stop sets one too
		return errStopping
	}
	return err
}

// take takes the packet that was looked at: from here on it is owed an answer.
func (v *visitor) take(size int) error {
	if v.taking.Err() != nil {
		return context.Cause(v.taking)
	}
	_, err := v.in.Discard(lengthBytes + size)
	return err
}

// send writes an answer. Where that fails the client has left.
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

// stop takes nothing more; what was taken is answered first.
func (v *visitor) stop() {
	v.stopping.Store(true)
	v.noMore(errStopping)
	v.conn.SetReadDeadline(time.Unix(1, 0))
}

// close ends the connection. Where the front stops, the client is let read what was written: commands that were
// not taken would otherwise have it reset.
func (v *visitor) close() {
	half, ok := v.conn.(interface{ CloseWrite() error }) // TCP and TLS alike
	if ok && v.stopping.Load() && half.CloseWrite() == nil {
		v.conn.SetReadDeadline(time.Now().Add(v.front.core.Guard.BeforeKill(v.front.limits.Files.LastAnswerTimeout)))
		io.Copy(io.Discard, v.conn)
	}
	v.conn.Close()
}

// do has one command answered that clients don't send ahead: as one request of the core, which may refuse it.
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
