package sftp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"otterturn/internal/net/retryconn"
)

// watchDisconnect cancels a client's commands when the client disconnects, until ended is closed. Packets that a client sends ahead
// are not read before their turn, and the end of the stream comes after them, so it asks the kernel about the end instead.
func (c *clientConn) watchDisconnect(ended <-chan struct{}) {
	tick := time.NewTicker(c.front.limits.Files.LeaveInterval)
	defer tick.Stop()
	for {
		select {
		case <-ended:
			return
		case <-tick.C:
			if peerClosed(c.conn) {
				c.cancel(errClientGone)
				return
			}
		}
	}
}

// peerClosed reports whether the peer of a connection has closed its sending side or reset the connection.
func peerClosed(c net.Conn) bool {
	s, ok := retryconn.Innermost(c).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0
	})
	return err == nil && closed
}
