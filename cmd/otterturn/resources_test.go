package main

import (
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"otterturn/internal/testsupport"
)

// fleetConfig returns the configuration of one front in a fleet of many fronts and as many nodes, none of which answers.
func fleetConfig(t *testing.T, listen, discovery, peerListen string, size int) string {
	t.Helper()
	var hosts, peers []string
	for i := range size {
		hosts = append(hosts, fmt.Sprintf(`{"host":"s-%08x","dial":"127.0.0.1:1","site":"a","block":%d,"health":"up","born_ms":%d}`, i, i, time.Now().UnixMilli()))
		peers = append(peers, fmt.Sprintf(`"127.9.%d.%d:1"`, i/250, i%250+1))
	}
	return strings.NewReplacer(
		`"peers":[]`, fmt.Sprintf(`"peer_listen":%q,"peers":[%s]`, peerListen, strings.Join(peers, ",")),
		`"hosts":[]`, fmt.Sprintf(`"hosts":[%s]`, strings.Join(hosts, ",")), `"balancers":1`, fmt.Sprintf(`"balancers":%d`, size),
		`"memory_mb":192,"sockets":1024`, `"memory_mb":72,"sockets":512`, `"probing":true`, `"probing":true,"peers":true`,
		`"shards":1`, fmt.Sprintf(`"shards":%d,"coldUnits":1`, size),
		`"report"`, `"safety":{"coldFrom":0.2,"fallMultiple":2.5,"fallUs":1000000,"rampTimeUs":17000000},"report"`,
	).Replace(fmt.Sprintf(platformConfig, listen, discovery))
}

// freePeerAddr returns a free address for messages between fronts.
func freePeerAddr(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", freeAddr(t))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// Memory, descriptors and threads of a front depend on its load and not on the size of the fleet, apart from at most 16 KiB of memory
// per pair of front and node. The test logs the measured values.
func TestFrontResourcesByFleetSize(t *testing.T) {
	rss := map[int]int{}
	for _, size := range []int{10, 350, 1024} {
		discovery := testsupport.Peer(t, func(_ int, c net.Conn) { c.Read(make([]byte, 1<<16)) }) // accepts the request and does not answer
		addr := freeAddr(t)
		p := start(t, []string{"RELAY_CONFIG=" + writeTemp(t, "config.json", fleetConfig(t, addr, discovery, freePeerAddr(t), size))})
		get := newGet(t, addr)
		testsupport.WaitFor(t, "readiness", func() bool { status, _, _ := get("/ready", ""); return status == 200 })
		for i := range 2 { // for a node that does not answer
			get("/read/00000000000000aa/00000000000000bb", fmt.Sprint("id-", i))
		}
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
		if err != nil {
			t.Skip("no /proc on this machine: ", err)
		}
		statusValue := func(name string) int {
			n, _ := strconv.Atoi(regexp.MustCompile(name + `:\s+(\d+)`).FindStringSubmatch(string(status))[1])
			return n
		}
		files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		rss[size] = statusValue("VmRSS")
		t.Logf("size: %d fronts and nodes: %d KiB, %d descriptors, %d threads", size, rss[size], len(files), statusValue("Threads"))
		if len(files) > 40 || statusValue("Threads") > 24 {
			t.Errorf("%d fronts and nodes: %d descriptors, %d threads", size, len(files), statusValue("Threads"))
		}
		p.stop(t)
	}
	if each := (rss[1024] - rss[10]) / 1014; each > 16 {
		t.Errorf("%d KiB of memory per pair of front and node, want at most 16", each)
	}
}

// Signals may arrive while a front starts, before discovery or a node has answered. The front must still reload its configuration and
// shut down gracefully.
func TestSignalsBeforeDiscoveryAnswers(t *testing.T) {
	discovery := testsupport.Peer(t, func(_ int, c net.Conn) { c.Read(make([]byte, 1<<16)) })
	for _, ready := range []bool{false, true} {
		addr := freeAddr(t)
		config := writeTemp(t, "config.json", fleetConfig(t, addr, discovery, freePeerAddr(t), 350))
		p := start(t, []string{"RELAY_CONFIG=" + config})
		testsupport.WaitFor(t, "the first log line", func() bool { return p.output.String() != "" })
		if get := newGet(t, addr); ready {
			testsupport.WaitFor(t, "readiness", func() bool { status, _, _ := get("/ready", ""); return status == 200 })
		}
		for _, sig := range []os.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
			p.Process.Signal(sig)
		}
		if err := testsupport.Await(t, "the exit of the program", p.done); err != nil {
			t.Errorf("ready %v: exited with %v:\n%s", ready, err, p.output)
		}
	}
}
