// Package kit has the stand-ins that the cases of the review share: the platform that starts a front, discovery, storage nodes
// and the record of a run. It imports no package of the program.
package kit

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Case is one run of a case.
type Case struct {
	Trouble bool   // the disruption is played
	Root    string // folder of the repository
	Temp    string // temporary folder of the run

	mu      sync.Mutex
	out     *os.File
	start   time.Time
	fronts  []*Front
	toClose []func()
}

// New starts a run. Its record is record.txt in the folder that the script passes.
func New() *Case {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: case ROOT FOLDER")
		os.Exit(NotRun)
	}
	out, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Root: os.Args[1], Temp: temp, out: out, start: time.Now()}
	c.Logf("run with trouble: %v", c.Trouble)
	time.AfterFunc(110*time.Second, func() { c.Finish(NotRun, "the run took too long") })
	return c
}

// Logf writes a line to the record, with the time since the start of the run.
func (c *Case) Logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.out, "%9.4f ", time.Since(c.start).Seconds())
	fmt.Fprintf(c.out, format+"\n", args...)
}

// Finish ends all processes, writes the verdict and exits.
func (c *Case) Finish(status int, format string, args ...any) {
	c.mu.Lock()
	fronts, toClose := c.fronts, c.toClose
	c.mu.Unlock()
	for _, f := range fronts {
		f.Kill()
	}
	for _, f := range toClose {
		f()
	}
	verdict := map[int]string{Held: "the rule held", Broken: "THE RULE WAS BROKEN", NotRun: "the case could not run"}[status]
	c.Logf("verdict: %s: %s", verdict, fmt.Sprintf(format, args...))
	fmt.Printf("%s: %s\n", verdict, fmt.Sprintf(format, args...))
	os.RemoveAll(c.Temp)
	os.Exit(status)
}

// Must ends the run if something that the case needs has failed.
func (c *Case) Must(err error, what string) {
	if err != nil {
		c.Finish(NotRun, "%s: %v", what, err)
	}
}

// OnFinish has a function called at the end of the run.
func (c *Case) OnFinish(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.toClose = append(c.toClose, f)
}

// Listen listens on a free port of a loopback address.
func (c *Case) Listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err, "listen")
	return l
}

// FreeAddr returns a loopback address with a port that is free now.
func (c *Case) FreeAddr() string {
	l := c.Listen()
	defer l.Close()
	return l.Addr().String()
}

// Front is a process of the program.
type Front struct {
	Cmd    *exec.Cmd
	ended  chan struct{}
	mu     sync.Mutex
	endErr error
}

// RunCommand returns the command of the deploy file that starts a front.
func (c *Case) RunCommand() string {
	text, err := os.ReadFile(filepath.Join(c.Root, "deploy", "balancer.toml"))
	c.Must(err, "deploy file")
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if m == nil {
		c.Finish(NotRun, "no run command in the deploy file")
	}
	return string(m[1])
}

// Start starts a front with a command, as the platform does: by a shell, from the root of the repository. Its log goes to a
// file in the temporary folder, whose lines the record gets at the end.
func (c *Case) Start(name, command string, env ...string) *Front {
	log, err := os.Create(filepath.Join(c.Temp, name+".log"))
	c.Must(err, "log file")
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = c.Root
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	c.Logf("start %s: %s", name, command)
	c.Must(cmd.Start(), "start "+name)
	f := &Front{Cmd: cmd, ended: make(chan struct{})}
	go func() {
		err := cmd.Wait()
		f.mu.Lock()
		f.endErr = err
		f.mu.Unlock()
		log.Close()
		close(f.ended)
	}()
	c.mu.Lock()
	c.fronts = append(c.fronts, f)
	c.mu.Unlock()
	c.OnFinish(func() {
		text, _ := os.ReadFile(log.Name())
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		if len(lines) > 60 {
			lines = append(lines[:30:30], lines[len(lines)-30:]...)
		}
		for _, line := range lines {
			c.Logf("log of %s: %s", name, line)
		}
	})
	return f
}

// Ended reports whether the process has ended.
func (f *Front) Ended() bool {
	select {
	case <-f.ended:
		return true
	default:
		return false
	}
}

// AwaitEnd waits for the end of the process, and reports whether it came in time.
func (f *Front) AwaitEnd(limit time.Duration) bool {
	select {
	case <-f.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// Signal sends a signal to the process.
func (f *Front) Signal(s syscall.Signal) {
	if !f.Ended() {
		f.Cmd.Process.Signal(s)
	}
}

// Kill ends the process and waits for its end.
func (f *Front) Kill() {
	f.Signal(syscall.SIGCONT)
	f.Signal(syscall.SIGKILL)
	<-f.ended
}

// AwaitReady waits until GET /ready is answered with 200.
func (c *Case) AwaitReady(f *Front, addr string) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && !f.Ended(); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + addr + "/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			c.Logf("front at %s is ready", addr)
			return
		}
	}
	c.Finish(NotRun, "the front at %s did not become ready", addr)
}

// Host is an entry of discovery's list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// Agent is the discovery agent on the front's machine: it answers at once, and holds a watch without changes.
type Agent struct {
	Addr string

	mu      sync.Mutex
	seq     int
	hosts   map[string]Host
	changed map[string]int // version of the last change, by host
	wake    chan struct{}
}

// NewAgent starts an agent with a list.
func (c *Case) NewAgent(hosts []Host) *Agent {
	l := c.Listen()
	a := &Agent{Addr: l.Addr().String(), seq: 1, hosts: map[string]Host{}, changed: map[string]int{}, wake: make(chan struct{})}
	for _, h := range hosts {
		a.hosts[h.Host] = h
	}
	go http.Serve(l, http.HandlerFunc(a.serve))
	c.OnFinish(func() { l.Close() })
	return a
}

// List returns the whole list in discovery's form.
func (a *Agent) List() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.answer(-1)
}

// answer returns the changes since a version, or the whole list. The caller holds the lock.
func (a *Agent) answer(from int) map[string]any {
	hosts := []Host{}
	for name, h := range a.hosts {
		if a.changed[name] > from {
			hosts = append(hosts, h)
		}
	}
	return map[string]any{"seq": a.seq, "whole": from < 0, "hosts": hosts}
}

// Set changes an entry of the list.
func (a *Agent) Set(h Host) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seq++
	a.hosts[h.Host], a.changed[h.Host] = h, a.seq
	close(a.wake)
	a.wake = make(chan struct{})
}

func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		from = -1
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	end := time.After(time.Duration(hold) * time.Millisecond)
	for waiting := from >= 0; waiting; {
		a.mu.Lock()
		newer, wake := a.seq > from, a.wake
		a.mu.Unlock()
		if newer {
			break
		}
		select {
		case <-wake:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	json.NewEncoder(w).Encode(a.answer(from))
}

// Class is a class of requests in the settings.
type Class struct {
	Name      string
	Aim, Wait time.Duration
	Semantics string
	Group     string
	Window    time.Duration
	Credit    float64
	Write     bool
}

// Classes are those of the first deployment.
var Classes = []Class{
	{"read", 300 * time.Millisecond, 2500 * time.Millisecond, "retryable", "all", 5 * time.Second, 2, false},
	{"write", 400 * time.Millisecond, 2 * time.Second, "dedup", "cell", 3 * time.Second, 2, true},
	{"bulk-read", 2 * time.Second, 6 * time.Second, "retryable", "all", 5 * time.Second, 1, false},
}

// Settings returns the settings of a small deployment with one front: those of the protocol note's example.
func Settings(classes []Class, shards int) map[string]any {
	type object = map[string]any
	var list []object
	var writes []bool
	for _, c := range classes {
		list = append(list, object{
			"name": c.Name, "aimUs": c.Aim.Microseconds(), "giveUpUs": c.Wait.Microseconds(), "semantics": c.Semantics,
			"group": c.Group, "windowUs": c.Window.Microseconds(), "credit": c.Credit, "lateShare": 0.2, "stream": false,
		})
		writes = append(writes, c.Write)
	}
	plan := func(name string, ceiling, floor, burst, slack, usual, factor float64) object {
		return object{
			"name": name, "ceilingRate": ceiling, "floorRate": floor, "limitBurst": burst, "shares": 1.0, "slack": slack,
			"usualRate": usual, "worthFactor": factor,
		}
	}
	return object{
		"balancers": 1, "slotNo": 0, "layer": 0, "myZone": 0, "tickUs": 2000, "registryMode": "pushed", "serviceType": "stores",
		"ceilings": object{
			"cancel": true, "connIdleUs": 15000000, "connectTimeoutUs": 250000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 355181,
			"maxOpen": 23678, "maxRetryAfterUs": 500000, "maxStreams": 100, "mayDuplicate": false, "peers": false, "probing": true,
			"retryAfter": true, "tryLimit": 4,
		},
		"classes": list,
		"clients": object{"marksRetry": true},
		"contracts": []object{
			plan("basic", 12, 0, 36, 6, 3, 0.96), plan("team", 0, 4.8, 0, 0, 6, 1.2), plan("business", 0, 12, 0, 0, 12, 1.5),
		},
		"familyInfo": object{
			"beyondShare": 0.1, "classWrites": writes, "coldUnits": 8.0, "meanUnits": 2.08, "meteringUs": 500000, "mostUnits": 6,
			"saysOthers": true, "shards": shards, "withinShare": 0.3,
		},
		"fees":    object{"peer": 0.01, "probe": 0.01, "waste": 0.08},
		"flavors": []string{"fast-node", "std-node"},
		"report":  object{"fields": []string{"backlog", "outstanding"}, "how": "on_probe"},
		"safety": object{
			"askWithinUs": 10000000, "coldFrom": 0.2, "drainGraceUs": 500000, "fallMultiple": 2.5, "fallUs": 1000000,
			"graceToAnswerUs": 8000, "rampTimeUs": 17000000,
		},
		"scoreParts": object{"whole": 0.6, "worstClass": 0.1, "worstTenant": 0.1, "worstWindow": 0.2},
		"tiers":      []string{"index-store"}, "weights": "rough", "zones": []string{"hall-a", "hall-b"},
	}
}

// Platform is the configuration of a front on the platform.
type Platform struct {
	Listen, Discovery, Control string
	MemoryMB, Sockets          int
	Known                      any
	Settings                   map[string]any
}

// WriteConfig writes a configuration and returns its path.
func (c *Case) WriteConfig(name string, p Platform) string {
	text, err := json.MarshalIndent(map[string]any{
		"name": name, "listen": p.Listen, "discovery": p.Discovery, "control": p.Control, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": p.MemoryMB, "sockets": p.Sockets},
		"known":  p.Known, "settings": p.Settings,
	}, "", " ")
	c.Must(err, "configuration")
	path := filepath.Join(c.Temp, name+".json")
	c.Must(os.WriteFile(path, text, 0o600), "configuration")
	return path
}

// StartPlatform starts a front as the platform does.
func (c *Case) StartPlatform(name string, p Platform) *Front {
	temp := filepath.Join(c.Temp, name+".tmp")
	c.Must(os.MkdirAll(temp, 0o700), "temporary folder")
	return c.Start(name, c.RunCommand(), "RELAY_NAME="+name, "RELAY_LISTEN="+p.Listen, "RELAY_DISCOVERY="+p.Discovery,
		"RELAY_CONFIG="+c.WriteConfig(name, p), "TMPDIR="+temp)
}

// Node is a storage node that speaks HTTP. Each connection is served by its own goroutine.
type Node struct {
	Name, Addr string
	Shard      int
}

// NewNode starts a node. serve is called for each connection and closes nothing: the connection is closed when it returns.
func (c *Case) NewNode(name string, shard int, serve func(n *Node, conn net.Conn, in *bufio.Reader)) *Node {
	l := c.Listen()
	n := &Node{Name: name, Addr: l.Addr().String(), Shard: shard}
	c.OnFinish(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				continue
			}
			go func() {
				defer conn.Close()
				serve(n, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return n
}

// Host returns the node's entry in the list.
func (n *Node) Host() Host {
	return Host{Host: n.Name, Dial: n.Addr, Site: "hall-a", Class: "fast-node", Block: n.Shard, Health: "up", Share: 1}
}

// Request returns the text of a client's request without a body.
func Request(class, id string, shard, units int, left time.Duration) string {
	return fmt.Sprintf("GET /%s/00000003b4d60021/%016x HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: %s\r\n"+
		"X-Service-Class: %s\r\nX-Plan: business\r\nX-Time-Left: %dm\r\nX-IO: units=%d,shard=%d,hosts=1\r\n\r\n",
		class, hash(id), id, class, left.Milliseconds(), units, shard)
}

func hash(text string) (h uint64) {
	for _, c := range text {
		h = h*1099511628211 + uint64(c)
	}
	return h
}
