package transport

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// hungUp reports whether the kernel knows that the client has closed its sending side, or that the connection broke, also with unread bytes
// before that.
func (c *clientConn) hungUp() bool {
	s, ok := c.raw.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true // closed on this side
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == nil && n > 0: // the end may stand behind these bytes
			gone = pollHangUp(fd)
		case err == nil, err == syscall.ECONNRESET, err == syscall.EPIPE:
			gone = true
		}
	})
	return err != nil || gone
}

// pollHangUp reports whether a socket is closed for reading or broken.
func pollHangUp(fd uintptr) bool {
	sockets := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(sockets, 0)
	return err == nil && n > 0 && sockets[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// hasNothingToRead reports whether a socket is open with nothing to read.
func hasNothingToRead(fd uintptr) bool {
	_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// timeSinceLastReceived returns how long ago the kernel last received data on a connection, or defaultTime if the kernel
// can't tell.
func timeSinceLastReceived(c net.Conn, defaultTime time.Duration) time.Duration {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return defaultTime
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return defaultTime
	}
	since := defaultTime
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since
}
