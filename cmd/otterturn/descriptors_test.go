package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"

	"otterturn/internal/testsupport"
)

// Guards against idle clients that use up all file descriptors. Hundreds of clients connect while discovery is down, idle or with an
// incomplete request, to a process with 160 descriptors. The descriptors reserved for nodes, discovery and active clients must
// suffice to fetch the endpoint list, connect to the node and answer.
func TestIdleClientsLeaveDescriptorsForDiscoveryAndNodes(t *testing.T) {
	node := httpPeer(t, func(*http.Request) string { return "index data" })
	list := fmt.Sprintf(`{"seq":42,"whole":true,"hosts":[{"host":"s","dial":%q,"site":"a","block":0,"health":"up","born_ms":0}]}`, node)
	back := make(chan struct{})
	discovery := testsupport.Peer(t, func(_ int, c net.Conn) {
		for in := bufio.NewReader(c); ; {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			select {
			case <-back:
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
			default:
				io.Copy(io.Discard, c) // down: no answer until the front closes the connection
				return
			}
		}
	})
	addr := freeAddr(t)
	config := strings.Replace(fmt.Sprintf(platformConfig, addr, discovery), `"sockets":1024`, `"sockets":160`, 1)
	p := startWith(t, func(c *exec.Cmd) {
		c.Path, c.Args = "/bin/sh", []string{"sh", "-c", `ulimit -n 160; exec "$0"`, os.Args[0]}
	}, []string{"RELAY_CONFIG=" + writeTemp(t, "config.json", config)})
	awaitLogLine(t, p, "discovery unreadable, endpoint list unchanged")
	for i := range 400 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "GET /read/")
		}
	}
	close(back)
	get := newGet(t, addr)
	testsupport.WaitFor(t, "a served request", func() bool { status, _, _ := get(readPath, newRequestID()); return status == 200 })
	if text := p.output.String(); strings.Contains(text, "too many open files") {
		t.Error(text)
	}
	p.stop(t)
}
