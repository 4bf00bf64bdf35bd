// Package retryconn provides a connection that retries reads and writes after transient errors. A system call that returns an error
// has transferred no bytes, and Linux has errors of routing and resources that do not affect the connection; if the connection has
// really ended, the next call fails too. Without retries, such an error would end a client's connection before its answer is sent.
package retryconn

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

// Bounds of the retries of one call.
const (
	retryInterval = 5 * time.Millisecond
	maxAttempts   = 60 // consecutive attempts: 0.3 s in total
)

// transientErrors lists the errors of recv(2), send(2) and tcp(7) that do not affect the connection.
var transientErrors = []error{
	syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM, syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.ENETUNREACH, syscall.ENETDOWN,
	syscall.ETIMEDOUT,
}

// Conn is a connection that retries reads and writes after transient errors.
type Conn struct{ net.Conn }

func isTransient(err error) bool {
	return err != nil && slices.ContainsFunc(transientErrors, func(m error) bool { return errors.Is(err, m) })
}

// Read reads from the connection and retries after transient errors.
func (c Conn) Read(p []byte) (n int, err error) {
	for range maxAttempts {
		if n, err = c.Conn.Read(p); n > 0 || !isTransient(err) {
			return n, err
		}
		time.Sleep(retryInterval)
	}
	return n, err
}

// Write writes all of p, and retries after transient errors. On an error n is the number of bytes written.
func (c Conn) Write(p []byte) (n int, err error) {
	for range maxAttempts {
		var written int
		written, err = c.Conn.Write(p[n:])
		if n += written; !isTransient(err) {
			return n, err
		}
		time.Sleep(retryInterval)
	}
	return n, err
}

// CloseWrite closes the writing side if the connection supports that, and returns errors.ErrUnsupported otherwise.
func (c Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return errors.ErrUnsupported
}

// NetConn returns the wrapped connection. tls.Conn has a method of the same name.
func (c Conn) NetConn() net.Conn { return c.Conn }

// Innermost returns the connection below all wrappers that have a method NetConn.
func Innermost(c net.Conn) net.Conn {
	for {
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = wrapped.NetConn()
	}
}
