package sftp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"otterturn/internal/net/steady"
)

// watch has what is out for a client lapse once it has left, until ended. What a client sent ahead is not read before its
// turn, so the end behind it is not read either: the kernel tells of it beside the bytes.
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

// hungUp tells whether the other end of a connection has ended its sending, or reset it.
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
