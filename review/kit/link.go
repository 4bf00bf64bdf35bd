package kit

import (
	"net"
	"time"
)

// Link starts a proxy before an address that delays all data by a time in each direction, and returns the proxy's address. The
// order of the data and the ends of connections are kept.
func (c *Case) Link(to string, delay time.Duration) (addr string) {
	l := c.Listen()
	c.OnFinish(func() { l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				out, err := net.Dial("tcp", to)
				if err != nil {
					in.Close()
					return
				}
				go carry(out, in, delay)
				carry(in, out, delay)
			}()
		}
	}()
	return l.Addr().String()
}

// carry passes on what arrives at one connection, and its end, after a delay.
func carry(to, from net.Conn, delay time.Duration) {
	type part struct {
		due  time.Time
		data []byte
	}
	parts := make(chan part, 4096)
	go func() {
		defer close(parts)
		for {
			data := make([]byte, 32<<10)
			n, err := from.Read(data)
			due := time.Now().Add(delay)
			if n > 0 {
				parts <- part{due, data[:n]}
			}
			if err != nil {
				parts <- part{due, nil}
				return
			}
		}
	}()
	for p := range parts {
		time.Sleep(time.Until(p.due))
		if p.data == nil {
			to.Close()
			from.Close()
			continue
		}
		to.Write(p.data)
	}
}
