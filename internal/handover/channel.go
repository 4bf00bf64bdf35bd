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
	Ask  Kind = iota + 1 // successor: hand over; the text is the version
	Part                 // predecessor: a part of the state
	End                  // predecessor: the state is whole
	Have                 // successor: it can serve
	Go                   // predecessor: it may
	Conn                 // predecessor: a client's connection
	ID                   // either: a request was taken under this id
	Out                  // either: a node is kept out by hand; node and who told, apart by a line's end
	Back                 // either: it may serve again
)

// partBytes is the room of a message: the kernel takes a packet of this size whole.
const partBytes = 32 << 10

// mostBytes bounds a state.
const mostBytes = 64 << 20

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

// Of is the channel on a connection that was accepted.
func Of(c *net.UnixConn) *Channel { return &Channel{c} }

// Close ends the channel.
func (c *Channel) Close() error { return c.conn.Close() }

// Send sends a message, with a copy of a socket where one is given.
func (c *Channel) Send(k Kind, text []byte, socket syscall.Conn) error {
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
		n := min(len(text), partBytes)
		if err := c.Send(Part, text[:n], nil); err != nil {
			return err
		}
		text = text[n:]
	}
	return c.Send(End, nil, socket)
}

// Receive waits for a message. The file is the socket that came with it, nil for none.
func (c *Channel) Receive() (k Kind, text []byte, socket *os.File, err error) {
	packet, rights := make([]byte, partBytes+1), make([]byte, syscall.CmsgSpace(4))
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

// Within bounds what is said from now on; 0 ends that.
func (c *Channel) Within(d time.Duration) error {
	if d == 0 {
		return c.conn.SetDeadline(time.Time{})
	}
	return c.conn.SetDeadline(time.Now().Add(d))
}

// AskFor has the predecessor give its state, and returns it with the socket that came with it, nil for none.
func (c *Channel) AskFor() (state []byte, socket *os.File, err error) {
	if err := c.Send(Ask, []byte{Version}, nil); err != nil {
		return nil, nil, err
	}
	for {
		k, text, with, err := c.Receive()
		switch {
		case err != nil:
			return nil, nil, err
		case k == Part && len(state)+len(text) <= mostBytes:
			state = append(state, text...)
		case k == End:
			return state, with, nil
		default:
			return nil, nil, fmt.Errorf("a message of kind %d within the state, or over %d bytes", k, mostBytes)
		}
	}
}

// Asked waits for the successor's question.
func (c *Channel) Asked() error {
	k, text, _, err := c.Receive()
	if err == nil && (k != Ask || len(text) != 1 || text[0] != Version) {
		err = ErrVersion
	}
	return err
}

// Confirm tells the predecessor that this process can serve, and waits until it may.
func (c *Channel) Confirm() error {
	if err := c.Send(Have, nil, nil); err != nil {
		return err
	}
	return c.await(Go)
}

// LetGo waits until the successor can serve, and lets it.
func (c *Channel) LetGo() error {
	if err := c.await(Have); err != nil {
		return err
	}
	return c.Send(Go, nil, nil)
}

func (c *Channel) await(want Kind) error {
	k, _, _, err := c.Receive()
	if err == nil && k != want {
		err = fmt.Errorf("a message of kind %d in the place of %d", k, want)
	}
	return err
}
