package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

func init() { cases["hung-upload"] = hungUpload }

// unacknowledged returns how many bytes of what was written the other machine has not acknowledged yet.
func unacknowledged(c *net.TCPConn) int32 {
	raw, err := c.SyscallConn()
	if err != nil {
		return -1
	}
	left := int32(-1)
	raw.Control(func(fd uintptr) {
		var n int32
		if _, _, errno := syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&n))); errno == 0 {
			left = n
		}
	})
	return left
}

// hungUpload: a chunk server hangs: it takes connections and reads no more. Clients send it long writes, in sizes of which some are taken
// whole by the front's machine. Each of those has to get its final answer by the end of its time and half a second.
func hungUpload(p *play) error {
	const left = 1900 * time.Millisecond
	var hung atomic.Bool
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return cannotRun("%v", err)
	}
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if hung.Load() {
			p.say("s-1: %s begins to come, and is not read", r.Header.Get("X-Correlation-Id"))
			select {}
		}
		n, err := io.Copy(io.Discard, r.Body)
		p.say("s-1: %s came, %d bytes, %v", r.Header.Get("X-Correlation-Id"), n, err)
		fmt.Fprintf(w, "answer to %s", r.Header.Get("X-Correlation-Id"))
	}))
	d, err := newDiscovery([]host{{Host: "s-1", Dial: l.Addr().String(), Site: "a", Class: "m", Health: "up", Share: 1}})
	if err != nil {
		return err
	}
	var taken atomic.Int64
	for round := range 4 { // each with a front of its own, which knows nothing of the chunk server yet
		hung.Store(false)
		f, err := p.newFront(d, settings(nil), false)
		if err != nil {
			return err
		}
		x, err := f.start()
		if err != nil {
			return err
		}
		if err := awaitYes(f.listen, "/ready", 10*time.Second); err != nil {
			return err
		}
		if status, text := ask(f.listen, request{id: p.newID(), class: "write", volume: "00000003b4d60021", key: "7f3a9c21e0b4d655", plan: "business", write: true, units: 1, left: left}); status != 200 {
			return cannotRun("a short write before: %d %s", status, text)
		}
		hung.Store(p.trouble)
		p.longWrites(f.listen, round, left, &taken)
		x.signal(syscall.SIGKILL)
		x.wait(5 * time.Second)
	}
	if taken.Load() == 0 {
		return cannotRun("no long write was taken whole")
	}
	return nil
}

// longWrites sends long writes of many sizes at once, waits for their answers, and judges those that were taken whole.
func (p *play) longWrites(addr string, round int, left time.Duration, taken *atomic.Int64) {
	var all sync.WaitGroup
	for i := range 32 {
		all.Go(func() {
			megabytes := 1 + float64(4*i+round)/16
			c, err := net.Dial("tcp", addr)
			if err != nil {
				p.say("client: %v", err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(40 * time.Second))
			r := request{id: p.newID(), class: "write", volume: "00000003b4d60021", key: "7f3a9c21e0b4d655", plan: "business", write: true, units: 1, left: left}
			r.body = strings.Repeat("b", int(megabytes*1e6))
			if _, err := io.WriteString(c, r.text()); err != nil {
				p.say("client: %s: %v", r.id, err)
				return
			}
			written := time.Now()
			for unacknowledged(c.(*net.TCPConn)) != 0 && time.Since(written) < time.Second {
				time.Sleep(2 * time.Millisecond)
			}
			whole := unacknowledged(c.(*net.TCPConn)) == 0
			takenAt := time.Now()
			p.say("client: %s, %.2f MB, written; taken whole by the front's machine: %v", r.id, megabytes, whole)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			after := time.Since(takenAt)
			if err != nil {
				p.say("client: %s: %v after %v", r.id, err, after)
			} else {
				p.say("client: %s, %.2f MB, got %d after %v", r.id, megabytes, resp.StatusCode, after)
			}
			if !whole {
				return
			}
			taken.Add(1)
			if late := after - left; late > 550*time.Millisecond {
				p.breaks("%s of %.2f MB had its end, %v, %v after its time, at most 0.5 s (and 50 ms) are allowed", r.id, megabytes, answerText(resp, err), late)
			}
		})
	}
	all.Wait()
}

func answerText(resp *http.Response, err error) string {
	if err != nil {
		return err.Error()
	}
	return resp.Status
}

// ask sends a request on a connection of its own and returns the status, 0 without an answer.
func ask(addr string, r request) (int, string) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, err.Error()
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(r.left + time.Second))
	if _, err := io.WriteString(c, r.text()); err != nil {
		return 0, err.Error()
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}
