package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["drain-kill"] = func(p *play) error { return drainAcrossRestart(p, killed) }
	cases["drain-settings"] = func(p *play) error { return drainAcrossRestart(p, changed) }
}

// The disruption of a restart.
const (
	killed  = iota // the appliance is killed; without the disruption it gets SIGTERM
	changed        // the operator changes the limit of a plan in the file meanwhile; without the disruption the file stays
)

// appliance is an appliance with its operator's file.
type appliance struct {
	play    *play
	addr    string
	config  string // path
	console string
	count   int
}

// newAppliance writes the operator's file of an appliance, in the form of deploy/appliance.toml.
func (p *play) newAppliance(nodes []*node) (*appliance, error) {
	a := &appliance{play: p, addr: freeAddr(), config: filepath.Join(p.dir, "appliance.toml"), console: filepath.Join(p.dir, "console.sock")}
	return a, a.write(nodes, "12.0")
}

// write writes the operator's file, with the limit of the plan basic.
func (a *appliance) write(nodes []*node, limit string) error {
	var out strings.Builder
	fmt.Fprintf(&out, `[limits]
memory_mb = 192
sockets = 1024
open = 256
tries = 4
connect = "250ms"
node_idle = "15s"
retry_after = "2s"

[http]
listen = %q

[learned]
folder = %q
front = "files-1"
interval = "5s"
lease = "500ms"

[console]
socket = %q

[classes.read]
within = "300ms"
wait = "2.5s"
worth = 2.0

[classes.write]
within = "400ms"
wait = "2s"
worth = 2.0
repeat = "keyed"
window = "3s"

[classes.bulk-read]
within = "2s"
wait = "6s"
worth = 1.0

[[plans]]
name = "basic"
weight = 1.0
limit = %s
burst = 36.0

[[plans]]
name = "business"
reservation = 12.0
weight = 1.0
`, a.addr, filepath.Join(a.play.dir, "learned"), a.console, limit)
	for _, n := range nodes {
		fmt.Fprintf(&out, "\n[[nodes]]\nname = %q\nhttp = %q\nshard = %d\n", n.Host, n.Dial, n.Block)
	}
	return os.WriteFile(a.config, []byte(out.String()), 0o600)
}

// start starts the appliance and waits until it serves.
func (a *appliance) start() (*process, error) {
	a.count++
	x, err := a.play.start(fmt.Sprintf("appliance process %d", a.count), "exec bin/otterturn serve --config "+a.config, nil, nil)
	if err != nil {
		return nil, err
	}
	return x, awaitYes(a.addr, "/ready", 10*time.Second)
}

// command sends a command to the console.
func (a *appliance) command(words ...string) error {
	cmd := exec.Command(filepath.Join(a.play.root, "bin", "otterturn"), append([]string{"console", "--config", a.config}, words...)...)
	text, err := cmd.CombinedOutput()
	a.play.say("operator: %s: %v\n%s", strings.Join(words, " "), err, text)
	return err
}

// readers sends reads of a shard over a few connections until stop is set. A connection that ends is opened anew.
func (p *play) readers(addr string, shard int, stop *atomic.Bool, all *sync.WaitGroup, served *atomic.Int64) {
	for range 4 {
		all.Go(func() {
			for !stop.Load() {
				c, err := net.DialTimeout("tcp", addr, time.Second)
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				in := bufio.NewReader(c)
				for !stop.Load() {
					r := request{
						id: p.newID(), class: "read", volume: "00000003b4d60021", key: "7f3a9c21e0b4d655", plan: "business", units: 1, shard: shard, left: 2 * time.Second,
					}
					c.SetDeadline(time.Now().Add(4 * time.Second))
					if _, err := io.WriteString(c, r.text()); err != nil {
						break
					}
					resp, err := http.ReadResponse(in, nil)
					if err != nil {
						break
					}
					io.Copy(io.Discard, resp.Body)
					if resp.StatusCode == 200 {
						served.Add(1)
					}
					time.Sleep(50 * time.Millisecond)
				}
				c.Close()
			}
		})
	}
}

// drainAcrossRestart: two nodes hold a shard; an operator drains one of them at the console, which says ok; then the appliance is
// restarted. Nothing new may reach that node.
func drainAcrossRestart(p *play, disruption int) error {
	var nodes []*node
	for _, name := range []string{"node-a", "node-b"} {
		n, err := p.newNode(name, 0, 2, func(*job) time.Duration { return 20 * time.Millisecond })
		if err != nil {
			return err
		}
		nodes = append(nodes, n)
	}
	a, err := p.newAppliance(nodes)
	if err != nil {
		return err
	}
	x, err := a.start()
	if err != nil {
		return err
	}
	var stop atomic.Bool
	var all sync.WaitGroup
	var served atomic.Int64
	p.readers(a.addr, 0, &stop, &all, &served)
	time.Sleep(time.Second)
	if err := a.command("drain", "node-a"); err != nil {
		return cannotRun("drain: %v", err)
	}
	drained := time.Now()
	time.Sleep(time.Second)
	if disruption == killed && p.trouble {
		x.signal(syscall.SIGKILL)
	} else {
		x.signal(syscall.SIGTERM)
	}
	if !x.wait(10 * time.Second) {
		return cannotRun("the appliance did not end")
	}
	if disruption == changed && p.trouble {
		p.say("operator: the limit of the plan basic is 15 units a second from now on")
		if err := a.write(nodes, "15.0"); err != nil {
			return err
		}
	}
	before := served.Load()
	if _, err = a.start(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	a.command("nodes")
	stop.Store(true)
	all.Wait()
	if served.Load() < before+20 {
		return cannotRun("%d reads were served after the restart", served.Load()-before)
	}
	late, first := 0, ""
	for _, j := range nodes[0].taken() {
		if after := j.at.Sub(drained); after > 550*time.Millisecond {
			if late++; late == 1 {
				first = fmt.Sprintf("%s, %v after the console had said ok", j.id, after)
			}
		}
	}
	if late > 0 {
		p.breaks("%d requests were sent to node-a, which the operator drains: the first was %s", late, first)
	}
	return nil
}
