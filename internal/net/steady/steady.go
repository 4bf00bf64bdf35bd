// Package steady keeps a connection through system calls that fail for a moment. A read or write that returns an error has moved no
// bytes, and Linux names errors of a route or of resources that leave the connection as it was; where it has really ended, the next
// call says so. net.Conn would end a client's connection at the first, with the answer that is owed on it.
package steady

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

// How long a call is tried again.
const (
	pause     = 5 * time.Millisecond
	mostTries = 60 // in a row: 0.3 s
)

// momentary are the errors of recv(2), send(2) and tcp(7) that leave a connection as it was.
var momentary = []error{
	syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM, syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.ENETUNREACH, syscall.ENETDOWN,
	syscall.ETIMEDOUT,
}

// Conn is a connection whose reads and writes are tried again.
type Conn struct{ net.Conn }

func isMomentary(err error) bool {
	return err != nil && slices.ContainsFunc(momentary, func(m error) bool { return errors.Is(err, m) })
}

// Read reads as the connection does.
func (c Conn) Read(p []byte) (n int, err error) {
	for range mostTries {
		if n, err = c.Conn.Read(p); n > 0 || !isMomentary(err) {
			return n, err
		}
		time.Sleep(pause)
	}
	return n, err
}

// Write writes all of p, or tells how much of it.
func (c Conn) Write(p []byte) (n int, err error) {
	for range mostTries {
		var some int
		some, err = c.Conn.Write(p[n:])
		if n += some; !isMomentary(err) {
			return n, err
		}
		time.Sleep(pause)
	}
	return n, err
}

// CloseWrite ends the sending, where the connection can.
func (c Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// NetConn is the connection below, as tls.Conn names it.
func (c Conn) NetConn() net.Conn { return c.Conn }

// Innermost is the connection below all that wrap it.
func Innermost(c net.Conn) net.Conn {
	for {
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = wrapped.NetConn()
	}
}
