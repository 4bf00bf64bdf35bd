package program

import (
	"fmt"
	"net"
	"os"
	"strconv"
)

// acceptVariable names the descriptor of the clients' listening socket, where the platform holds it: it stays open
// while one process of the front follows another.
const acceptVariable = "RELAY_ACCEPT_FD"

// clientsListener is where clients connect: the socket that was handed down, or one of its own.
func clientsListener(addr, descriptor string) (net.Listener, error) {
	if descriptor == "" {
		l, err := net.Listen("tcp", addr)
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
