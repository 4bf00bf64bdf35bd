package sftp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"otterturn/internal/net/steady"
)

// watch cancels a client's commands when the client disconnects, until ended is closed. Packets that a client sends ahead are not
// read before their turn, and the end of the stream comes after them, so watch asks the kernel about the end instead.
func (v *visitor) watch(ended <-chan struct{}) {
	tick := time.NewTicker(v.front.limits.Files.LeaveInterval)
	defer tick.Stop()
	for {
		select {
		case <-ended:
			return
		case <-tick.C:
			if hungUp(v.conn) {
				v.left(errLeft)
				return
			}
		}
	}
}

// hungUp reports whether the peer of a connection has closed its sending side or reset the connection.
func hungUp(c net.Conn) bool {
	s, ok := steady.Innermost(c).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	up := false
	err = raw.Control(func(fd uintptr) {
		at := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(at, 0)
		up = err == nil && n > 0
	})
	return err == nil && up
}
