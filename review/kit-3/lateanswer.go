package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case. One way between two halls takes 1.4 to 2.6 ms, and a second answer may come some milliseconds late.
const (
	hallDelay     = 2 * time.Millisecond
	secondDelay   = 6 * time.Millisecond
	secondEvery   = 20 // one answer of so many has a second copy
	lateReaders   = 16
	lateReadsEach = 150
)

// playLateAnswer reads from a chunk server in another hall. Some of its answers come twice, the second time some milliseconds late and only if
// no further request has come on the connection. Without the disruption each comes once.
func playLateAnswer(r *run) error {
	var answers, seconds atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go acceptAll(l, func(c net.Conn) { r.serveTwice(c, &answers, &seconds) })
	link, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go acceptAll(link, func(c net.Conn) { connectHalls(c, l.Addr().String()) })
	d, err := newDiscovery([]host{{
		Host: "s-0000000a", Dial: link.Addr().String(), Site: "hall-b", Class: "std-node", Block: 0, Health: "up", Share: 1,
	}})
	if err != nil {
		return err
	}
	place, err := r.newSite(d, settings(1, 4), 192, false)
	if err != nil {
		return err
	}
	if _, err := place.startReady("front"); err != nil {
		return err
	}
	var clients sync.WaitGroup
	var served, failed atomic.Int64
	for n := range lateReaders {
		clients.Go(func() {
			var c *client
			for i := range lateReadsEach {
				id := fmt.Sprintf("%08x%08x", n, i)
				text, _ := message("read", "00000003b4d60021", id, id, "", 0, 2*time.Second, nil)
				if c == nil {
					var err error
					if c, err = dial(place.listen); err != nil {
						failed.Add(1)
						continue
					}
				}
				a := c.do(text, 4*time.Second)
				switch {
				case a.err != nil:
					failed.Add(1)
					c.Close()
					c = nil
				case a.status != http.StatusOK:
					failed.Add(1)
				case a.body != "object "+id:
					r.breaks("the read %s was served with the answer %q, which was made for another one", id, a.body)
				default:
					served.Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	r.logf("chunk server: %d answers, %d of them came twice; clients: %d served well, %d failed", answers.Load(), seconds.Load(), served.Load(), failed.Load())
	return r.result()
}

func acceptAll(l net.Listener, serve func(c net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serve(c)
	}
}

// serveTwice is a chunk server that answers some requests twice.
func (r *run) serveTwice(c net.Conn, answers, seconds *atomic.Int64) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(idleTimeout))
		if _, err := in.Peek(1); err != nil {
			return
		}
		c.SetReadDeadline(time.Time{})
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		text := "TEXT backlog=0, outstanding=0"
		id := q.Header.Get("X-Correlation-Id")
		if id != "" {
			text = "object " + id
			time.Sleep(3 * time.Millisecond)
		}
		whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		if _, err := io.WriteString(c, whole); err != nil {
			return
		}
		if id == "" || answers.Add(1)%secondEvery != 0 || !r.trouble {
			continue
		}
		// Nothing else may wait on the connection as the second answer is sent.
		c.SetReadDeadline(time.Now().Add(secondDelay))
		if _, err := in.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		seconds.Add(1)
		r.logf("chunk server: second answer for %s, %v behind the first", id, secondDelay)
		if _, err := io.WriteString(c, whole); err != nil {
			return
		}
	}
}

// connectHalls carries the bytes of a connection to another hall and back, each hallDelay late.
func connectHalls(c net.Conn, to string) {
	out, err := net.Dial("tcp", to)
	if err != nil {
		c.Close()
		return
	}
	go carry(out, c)
	carry(c, out)
}

func carry(to, from net.Conn) {
	type part struct {
		bytes []byte
		at    time.Time
	}
	parts := make(chan part, 1024)
	go func() {
		defer close(parts)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			parts <- part{buffer[:n], time.Now().Add(hallDelay)}
			if err != nil {
				return
			}
		}
	}()
	for p := range parts {
		time.Sleep(time.Until(p.at))
		if _, err := to.Write(p.bytes); err != nil {
			break
		}
	}
	to.Close()
	from.Close()
	for range parts {
	}
}
