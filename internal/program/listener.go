package program

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"
)

// acceptVariable is the environment variable with the descriptor of the clients' listening socket, if the platform holds
// the socket. The socket stays open while one process of the front replaces another.
const acceptVariable = "RELAY_ACCEPT_FD"

// Retries of system calls that fail temporarily at the start.
const (
	startRetryDelay = 50 * time.Millisecond
	startRetryLimit = 2 * time.Second
)

// retryStart calls open again every startRetryDelay, up to startRetryLimit, while it fails with a transient system error,
// such as an address in use or a lack of descriptors. It returns the last error.
func retryStart[T any](open func() (T, error)) (T, error) {
	for startedAt := time.Now(); ; time.Sleep(startRetryDelay) {
		value, err := open()
		if err == nil || !isTransient(err) || time.Since(startedAt) > startRetryLimit {
			return value, err
		}
	}
}

// isTransient reports whether an error of a system call is likely to be transient.
func isTransient(err error) bool {
	for _, errno := range []syscall.Errno{
		syscall.EAGAIN, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRINUSE,
		syscall.EIO, syscall.ETIMEDOUT, syscall.ENOSPC, syscall.EDQUOT,
	} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// listenForClients returns the listener for clients: the inherited socket of descriptor, or a new one at addr without it.
func listenForClients(addr, descriptor string) (net.Listener, error) {
	if descriptor == "" {
		l, err := retryStart(func() (net.Listener, error) { return net.Listen("tcp", addr) })
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		return l, nil
	}
	fd, err := strconv.Atoi(descriptor)
	if err != nil || fd < 3 {
		return nil, configurationError{fmt.Errorf("%s: %q is not a file descriptor above 2", acceptVariable, descriptor)}
	}
	file := os.NewFile(uintptr(fd), acceptVariable)
	defer file.Close() // the listener has a duplicate
	l, err := net.FileListener(file)
	if err != nil {
		return nil, configurationError{fmt.Errorf("%s: descriptor %d is not a listening socket: %w", acceptVariable, fd, err)}
	}
	if _, ok := l.(*net.TCPListener); !ok {
		l.Close()
		return nil, configurationError{fmt.Errorf("%s: descriptor %d is not a TCP socket", acceptVariable, fd)}
	}
	return l, nil
}

// listen opens a TCP address with a port, or a Unix socket that only the process's user may use.
func listen(addr string) (net.Listener, error) {
	if isAddress(addr) {
		return retryStart(func() (net.Listener, error) { return net.Listen("tcp", addr) })
	}
	if c, err := net.Dial("unix", addr); err == nil {
		c.Close()
		return nil, fmt.Errorf("%s: another program listens on the socket", addr)
	}
	if err := os.Remove(addr); err != nil && !errors.Is(err, os.ErrNotExist) { // left by a killed process
		return nil, err
	}
	oldMask := syscall.Umask(0o177)
	defer syscall.Umask(oldMask)
	return net.Listen("unix", addr)
}
