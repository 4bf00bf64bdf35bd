package handover

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// Kind is the type of a message.
type Kind byte

// The kinds of message, with the process that sends them. A state is sent in parts; KindStateEnd may carry the socket for
// messages of other fronts.
const (
	KindStateRequest Kind = iota + 1 // successor: requests the state; the text is the version
	KindStatePart                    // predecessor: a part of the state
	KindStateEnd                     // predecessor: the state is complete
	KindReady                        // successor: it is ready to serve
	KindRelease                      // predecessor: releases the successor, which may serve
	KindConnection                   // predecessor: a client's connection
	KindRequestID                    // either: a request with this id was accepted
	KindBan                          // either: a node was banned; the text is the node and who banned it, separated by a newline
	KindUnban                        // either: the ban of a node has ended; text as for KindBan
)

// maxPartBytes is the maximum size of a message's text. The kernel transfers a packet of this size in one piece.
const maxPartBytes = 32 << 10

// maxStateBytes is the maximum size of an encoded state.
const maxStateBytes = 64 << 20

// sendTimeout is how long a message may wait for the other process to read it. Requests wait for it meanwhile.
const sendTimeout = 250 * time.Millisecond

// Channel is one end of the socket between predecessor and successor.
type Channel struct {
	conn     *net.UnixConn
	deadline atomic.Pointer[time.Time] // of all messages, nil for none
}

// Listen opens the socket to which a successor connects. A socket file that an earlier process left at the path is removed.
func Listen(path string) (*net.UnixListener, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false) // the successor has its own socket at the path by then
	return l, nil
}

// Dial connects to the predecessor. It fails if there is none.
func Dial(path string) (*Channel, error) {
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	return NewChannel(c), nil
}

// NewChannel returns the channel on an accepted connection.
func NewChannel(c *net.UnixConn) *Channel { return &Channel{conn: c} }

// Close closes the channel.
func (c *Channel) Close() error { return c.conn.Close() }

// sendDeadline returns the time by which the other process must have read a message that is sent now.
func (c *Channel) sendDeadline() time.Time {
	out := time.Now().Add(sendTimeout)
	if end := c.deadline.Load(); end != nil && end.Before(out) {
		return *end
	}
	return out
}

// Send sends a message, with a copy of a socket unless that is nil.
func (c *Channel) Send(kind Kind, text []byte, socket syscall.Conn) error {
	if err := c.conn.SetWriteDeadline(c.sendDeadline()); err != nil {
		return err
	}
	packet := append([]byte{byte(kind)}, text...)
	if socket == nil {
		_, err := c.conn.Write(packet)
		return err
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var sendErr error
	if err := raw.Control(func(fd uintptr) {
		_, _, sendErr = c.conn.WriteMsgUnix(packet, syscall.UnixRights(int(fd)), nil)
	}); err != nil {
		return err
	}
	return sendErr
}

// SendState sends an encoded state in parts, with a copy of a socket unless that is nil.
func (c *Channel) SendState(text []byte, socket syscall.Conn) error {
	for len(text) > 0 {
		n := min(len(text), maxPartBytes)
		if err := c.Send(KindStatePart, text[:n], nil); err != nil {
			return err
		}
		text = text[n:]
	}
	return c.Send(KindStateEnd, nil, socket)
}

// Receive waits for a message and returns it with the socket that it carries, nil for none.
func (c *Channel) Receive() (kind Kind, text []byte, socket *os.File, err error) {
	packet, rights := make([]byte, maxPartBytes+1), make([]byte, syscall.CmsgSpace(4))
	n, rightsLen, _, _, err := c.conn.ReadMsgUnix(packet, rights)
	if err != nil {
		return 0, nil, nil, err
	}
	if n == 0 {
		return 0, nil, nil, io.EOF
	}
	if rightsLen > 0 {
		if socket, err = parseSocket(rights[:rightsLen]); err != nil {
			return 0, nil, nil, err
		}
	}
	return Kind(packet[0]), packet[1:n], socket, nil
}

func parseSocket(rights []byte) (*os.File, error) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil || len(messages) != 1 {
		return nil, errors.Join(errors.New("handover: malformed socket control message"), err)
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		for _, fd := range fds {
			syscall.Close(fd)
		}
		return nil, errors.Join(errors.New("handover: control message does not carry exactly one socket"), err)
	}
	syscall.CloseOnExec(fds[0])
	return os.NewFile(uintptr(fds[0]), "received socket"), nil
}

// SetTimeout sets the deadline of all further messages to the present time plus d; 0 removes it.
func (c *Channel) SetTimeout(d time.Duration) error {
	if d == 0 {
		c.deadline.Store(nil)
		return c.conn.SetDeadline(time.Time{})
	}
	end := time.Now().Add(d)
	c.deadline.Store(&end)
	return c.conn.SetDeadline(end)
}

// RequestState asks the predecessor for its state, and returns it with the socket that it carries, nil for none.
func (c *Channel) RequestState() (state []byte, socket *os.File, err error) {
	if err := c.Send(KindStateRequest, []byte{Version}, nil); err != nil {
		return nil, nil, err
	}
	for {
		kind, text, attached, err := c.Receive()
		switch {
		case err != nil:
			return nil, nil, err
		case kind == KindStatePart && len(state)+len(text) <= maxStateBytes:
			state = append(state, text...)
		case kind == KindStateEnd:
			return state, attached, nil
		default:
			return nil, nil, fmt.Errorf("unexpected message of kind %d while receiving the state, or state over %d bytes", kind, maxStateBytes)
		}
	}
}

// AwaitRequest waits until the successor asks for the state.
func (c *Channel) AwaitRequest() error {
	kind, text, _, err := c.Receive()
	if err == nil && (kind != KindStateRequest || len(text) != 1 || text[0] != Version) {
		err = ErrVersion
	}
	return err
}

// Confirm tells the predecessor that this process is ready to serve, and waits to be released.
func (c *Channel) Confirm() error {
	if err := c.Send(KindReady, nil, nil); err != nil {
		return err
	}
	return c.expect(KindRelease)
}

// ReleaseSuccessor waits until the successor is ready to serve, and releases it.
func (c *Channel) ReleaseSuccessor() error {
	if err := c.expect(KindReady); err != nil {
		return err
	}
	return c.Send(KindRelease, nil, nil)
}

func (c *Channel) expect(want Kind) error {
	kind, _, _, err := c.Receive()
	if err == nil && kind != want {
		err = fmt.Errorf("received message of kind %d, want kind %d", kind, want)
	}
	return err
}
