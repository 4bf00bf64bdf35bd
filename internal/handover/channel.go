package handover

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// Kind is what a message is about.
type Kind byte

// The kinds of message. A state comes in parts, the last of which may carry the socket for other fronts' messages.
const (
	KindAsk        Kind = iota + 1 // successor: hand over; the text is the version
	KindStatePart                  // predecessor: a part of the state
	KindStateEnd                   // predecessor: the state is whole
	KindReady                      // successor: it can serve
	KindGo                         // predecessor: it may
	KindConnection                 // predecessor: a client's connection
	KindRequestID                  // either: a request was taken under this id
	KindBan                        // either: a node is kept out by hand; node and who told, apart by a line's end
	KindUnban                      // either: it may serve again
)

// maxPartBytes is the room of a message: the kernel takes a packet of this size whole.
const maxPartBytes = 32 << 10

// maxStateBytes bounds a state.
const maxStateBytes = 64 << 20

// sendTimeout is how long a message may wait for the other process to read: requests wait behind it.
const sendTimeout = 250 * time.Millisecond

// Channel is one end of the socket between two processes.
type Channel struct{ conn *net.UnixConn }

// Listen opens the socket at a path on which a successor asks. What a process left there that is gone is removed.
func Listen(path string) (*net.UnixListener, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false) // the successor has one there by then
	return l, nil
}

// Dial reaches the predecessor. It fails where there is none.
func Dial(path string) (*Channel, error) {
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	return &Channel{c}, nil
}

// NewChannel is the channel on a connection that was accepted.
func NewChannel(c *net.UnixConn) *Channel { return &Channel{c} }

// Close ends the channel.
func (c *Channel) Close() error { return c.conn.Close() }

// Send sends a message, with a copy of a socket where one is given.
func (c *Channel) Send(k Kind, text []byte, socket syscall.Conn) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	packet := append([]byte{byte(k)}, text...)
	if socket == nil {
		_, err := c.conn.Write(packet)
		return err
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var sent error
	if err := raw.Control(func(fd uintptr) {
		_, _, sent = c.conn.WriteMsgUnix(packet, syscall.UnixRights(int(fd)), nil)
	}); err != nil {
		return err
	}
	return sent
}

// SendState sends a state in parts.
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

// Receive waits for a message. The file is the socket that came with it, nil for none.
func (c *Channel) Receive() (k Kind, text []byte, socket *os.File, err error) {
	packet, rights := make([]byte, maxPartBytes+1), make([]byte, syscall.CmsgSpace(4))
	n, oob, _, _, err := c.conn.ReadMsgUnix(packet, rights)
	if err != nil {
		return 0, nil, nil, err
	}
	if n == 0 {
		return 0, nil, nil, io.EOF
	}
	if oob > 0 {
		if socket, err = received(rights[:oob]); err != nil {
			return 0, nil, nil, err
		}
	}
	return Kind(packet[0]), packet[1:n], socket, nil
}

func received(rights []byte) (*os.File, error) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil || len(messages) != 1 {
		return nil, errors.Join(errors.New("a socket did not come whole"), err)
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return nil, errors.Join(errors.New("a socket did not come whole"), err)
	}
	syscall.CloseOnExec(fds[0])
	return os.NewFile(uintptr(fds[0]), "handed over"), nil
}

// SetTimeout bounds what is said from now on; 0 ends that.
func (c *Channel) SetTimeout(d time.Duration) error {
	if d == 0 {
		return c.conn.SetDeadline(time.Time{})
	}
	return c.conn.SetDeadline(time.Now().Add(d))
}

// RequestState has the predecessor give its state, and returns it with the socket that came with it, nil for none.
func (c *Channel) RequestState() (state []byte, socket *os.File, err error) {
	if err := c.Send(KindAsk, []byte{Version}, nil); err != nil {
		return nil, nil, err
	}
	for {
		k, text, with, err := c.Receive()
		switch {
		case err != nil:
			return nil, nil, err
		case k == KindStatePart && len(state)+len(text) <= maxStateBytes:
			state = append(state, text...)
		case k == KindStateEnd:
			return state, with, nil
		default:
			return nil, nil, fmt.Errorf("a message of kind %d within the state, or over %d bytes", k, maxStateBytes)
		}
	}
}

// AwaitRequest waits for the successor's question.
func (c *Channel) AwaitRequest() error {
	k, text, _, err := c.Receive()
	if err == nil && (k != KindAsk || len(text) != 1 || text[0] != Version) {
		err = ErrVersion
	}
	return err
}

// Confirm tells the predecessor that this process can serve, and waits until it may.
func (c *Channel) Confirm() error {
	if err := c.Send(KindReady, nil, nil); err != nil {
		return err
	}
	return c.await(KindGo)
}

// ReleaseSuccessor waits until the successor can serve, and lets it.
func (c *Channel) ReleaseSuccessor() error {
	if err := c.await(KindReady); err != nil {
		return err
	}
	return c.Send(KindGo, nil, nil)
}

func (c *Channel) await(want Kind) error {
	k, _, _, err := c.Receive()
	if err == nil && k != want {
		err = fmt.Errorf("a message of kind %d in the place of %d", k, want)
	}
	return err
}
