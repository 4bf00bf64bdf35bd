// Command case3 plays a day on which some answers of chunk servers never end, answers to probes among them.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"otterturn/review/kit"
)

const (
	work      = 400 * time.Millisecond // of a node for a request of class bulk-read, which is wanted within 2 s
	memoryMB  = 192                    // limit of the front
	endlessIn = 11                     // one answer in so many never ends; odd, as probes and requests take turns
	pause     = 2500 * time.Millisecond
	playFor   = 45 * time.Second
	shards    = 4
	class     = "bulk-read"
	patience  = 6 * time.Second
)

func main() {
	c := kit.New()
	answers := new(atomic.Int64)
	var hosts []kit.Host
	for shard := range shards {
		n := c.NewNode(fmt.Sprintf("s-%d", shard), shard, func(n *kit.Node, conn net.Conn, in *bufio.Reader) { serve(c, n, conn, in, answers) })
		hosts = append(hosts, n.Host())
	}
	agent := c.NewAgent(hosts)
	listen := c.FreeAddr()
	front := c.StartPlatform("n1", kit.Platform{
		Listen: listen, Discovery: agent.Addr, MemoryMB: memoryMB, Sockets: 1024, Known: agent.List(), Settings: kit.Settings(kit.Classes, shards),
	})
	c.AwaitReady(front, listen)
	var served, other atomic.Int64
	over := make(chan int, 1)
	go watchMemory(c, front, over)
	var wait sync.WaitGroup
	for i := range shards {
		wait.Go(func() { client(c, listen, i, &served, &other) })
	}
	ended := make(chan struct{})
	go func() {
		wait.Wait()
		close(ended)
	}()
	summary := func() string {
		return fmt.Sprintf("%d answers of chunk servers, %d requests served whole, %d not", answers.Load(), served.Load(), other.Load())
	}
	select {
	case mb := <-over:
		c.Finish(kit.Broken, "the front took %d MB, its limit is %d MB, and the platform killed it; %s", mb, memoryMB, summary())
	case <-ended:
	}
	if front.Ended() || served.Load() < shards {
		c.Finish(kit.NotRun, "%s", summary())
	}
	c.Finish(kit.Held, "%s; at its highest the front took %d MB", summary(), memory(front, "VmHWM:"))
}

// watchMemory is the platform's memory limit: a front over it is killed.
func watchMemory(c *kit.Case, front *kit.Front, over chan<- int) {
	last := 0
	for ; ; time.Sleep(10 * time.Millisecond) {
		mb := memory(front, "VmRSS:")
		if mb > last+10 || mb < last-10 {
			c.Logf("the front takes %d MB", mb)
			last = mb
		}
		if mb > memoryMB {
			c.Logf("BROKEN: the front takes %d MB of %d MB, and is killed", mb, memoryMB)
			front.Signal(syscall.SIGKILL)
			over <- mb
			return
		}
	}
}

// memory returns a figure of the process in /proc, in MB.
func memory(front *kit.Front, field string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", front.Cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, field); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb / 1024
		}
	}
	return 0
}

// serve answers requests and probes. With trouble one answer in endlessIn never ends.
func serve(c *kit.Case, n *kit.Node, conn net.Conn, in *bufio.Reader, answers *atomic.Int64) {
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		what, body := "a probe", "TEXT backlog=0, outstanding=1"
		if id := r.Header.Get("X-Correlation-Id"); id != "" {
			what, body = id, "the answer made for "+id
			time.Sleep(work)
		}
		if number := answers.Add(1); c.Trouble && number%endlessIn == 0 {
			c.Logf("%s answers %s with a body that never ends", n.Name, what)
			endless(conn)
			return
		}
		c.Logf("%s answers %s", n.Name, what)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// endless writes chunks, 64 MB a second at most, as long as the front takes them.
func endless(conn net.Conn) {
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("noise 1 ", 8<<10))
	for ; ; time.Sleep(time.Millisecond) {
		if _, err := io.WriteString(conn, chunk); err != nil {
			return
		}
	}
}

// client asks one request after the other of one shard, each on a new connection, and leaves when its time is over.
func client(c *kit.Case, addr string, shard int, served, other *atomic.Int64) {
	for i, start := 0, time.Now(); time.Since(start) < playFor; i++ {
		id := fmt.Sprintf("%08x%08x", shard+1, i)
		if err := ask(c, addr, id, shard); err != nil {
			c.Logf("client: %s: %v", id, err)
			other.Add(1)
		} else {
			served.Add(1)
		}
		time.Sleep(pause)
	}
}

func ask(c *kit.Case, addr, id string, shard int) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	c.Logf("client asks %s", id)
	io.WriteString(conn, kit.Request(class, id, shard, 1, patience))
	conn.SetReadDeadline(time.Now().Add(patience))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		return fmt.Errorf("answer %d, given up after %d bytes: %w", resp.StatusCode, n, err)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	c.Logf("client: %s is served", id)
	return nil
}
