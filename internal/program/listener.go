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

// acceptVariable names the descriptor of the clients' listening socket, where the platform holds it: it stays open
// while one process of the front follows another.
const acceptVariable = "RELAY_ACCEPT_FD"

// A start goes on where a system call fails for a moment.
const (
	startRetry    = 50 * time.Millisecond
	startPatience = 2 * time.Second
)

// retryStart tries again what a start needs, while it fails as the system lacks something for a moment: a listener whose address is
// in use, or a descriptor. The error is the last one.
func retryStart[T any](open func() (T, error)) (T, error) {
	for began := time.Now(); ; time.Sleep(startRetry) {
		value, err := open()
		if err == nil || !isMomentary(err) || time.Since(began) > startPatience {
			return value, err
		}
	}
}

// isMomentary reports whether an error of a system call may pass by itself.
func isMomentary(err error) bool {
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

// clientsListener is where clients connect: the socket that was handed down, or one of its own.
func clientsListener(addr, descriptor string) (net.Listener, error) {
	if descriptor == "" {
		l, err := retryStart(func() (net.Listener, error) { return net.Listen("tcp", addr) })
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		return l, nil
	}
	fd, err := strconv.Atoi(descriptor)
	if err != nil || fd < 3 {
		return nil, misuse{fmt.Errorf("%s: %q is no descriptor above 2", acceptVariable, descriptor)}
	}
	file := os.NewFile(uintptr(fd), acceptVariable)
	defer file.Close() // the listener has a copy
	l, err := net.FileListener(file)
	if err != nil {
		return nil, misuse{fmt.Errorf("%s: %d is no listening socket: %w", acceptVariable, fd, err)}
	}
	if _, ok := l.(*net.TCPListener); !ok {
		l.Close()
		return nil, misuse{fmt.Errorf("%s: %d is no TCP socket", acceptVariable, fd)}
	}
	return l, nil
}

// listen opens an address with a port, or a socket in the file system that the operator's user alone may use.
func listen(addr string) (net.Listener, error) {
	if address(addr) {
		return retryStart(func() (net.Listener, error) { return net.Listen("tcp", addr) })
	}
	if c, err := net.Dial("unix", addr); err == nil {
		c.Close()
		return nil, fmt.Errorf("%s: another program serves it", addr)
	}
	if err := os.Remove(addr); err != nil && !errors.Is(err, os.ErrNotExist) { // left by one that was killed
		return nil, err
	}
	old := syscall.Umask(0o177)
	defer syscall.Umask(old)
	return net.Listen("unix", addr)
}
