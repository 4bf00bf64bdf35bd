package transport

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// This file asks the kernel what it knows of a connection and the program has not heard of yet.

// hungUp reports whether the kernel knows that the client has ended its sending, or that the connection broke. Behind bytes that
// were not read it can't tell, and says no.
func (c *clientConn) hungUp() bool {
	s, ok := c.raw.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true // it is closed
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = err == nil && n == 0 || err == syscall.ECONNRESET || err == syscall.EPIPE
	})
	return err != nil || gone
}

// nothingToRead tells whether a socket is open with nothing to read.
func nothingToRead(fd uintptr) bool {
	_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// sinceLastReceived asks the kernel how long ago the last data of a connection came, or returns otherwise.
func sinceLastReceived(c net.Conn, otherwise time.Duration) time.Duration {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return otherwise
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return otherwise
	}
	since := otherwise
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since
}
