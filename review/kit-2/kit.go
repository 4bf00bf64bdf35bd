// Command cases holds the stand-ins of the second review (clients, chunk servers, discovery, the platform) and the steps of each
// case. It uses the standard library alone and talks to loopback addresses only.
package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// errCannotRun marks a case that could not be played, as opposed to a rule that was broken.
var errCannotRun = errors.New("the case could not run")

func cannotRun(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errCannotRun, fmt.Sprintf(format, args...))
}

// play is one run of a case.
type play struct {
	root    string // of the repository
	dir     string // temporary folder
	trouble bool   // false with TROUBLE=0
	began   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*process
	broken []string
	ids    atomic.Int64
}

// say writes a line to the record, with the time since the run began.
func (p *play) say(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%9.3f  %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that a rule was broken.
func (p *play) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	p.say("BROKEN: %s", text)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = append(p.broken, text)
}

// newID returns a request id that no other request has.
func (p *play) newID() string { return fmt.Sprintf("%016x", 0x9b1f000000000000+uint64(p.ids.Add(1))) }

// freeAddr returns a loopback address whose port is free now.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// process is a process of the project, started in a process group of its own.
type process struct {
	name   string
	cmd    *exec.Cmd
	ended  chan struct{}
	play   *play
	output lockedBuffer
}

type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// start runs a shell command from the root of the repository. accept is the descriptor 7 of the process, nil for none.
func (p *play) start(name, command string, env []string, accept *os.File) (*process, error) {
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = p.root
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.dir}, env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if accept != nil {
		null, err := os.Open(os.DevNull)
		if err != nil {
			return nil, err
		}
		defer null.Close()
		cmd.ExtraFiles = []*os.File{null, null, null, null, accept} // descriptors 3 to 7
	}
	proc := &process{name: name, cmd: cmd, ended: make(chan struct{}), play: p}
	cmd.Stdout, cmd.Stderr = &proc.output, &proc.output
	if err := cmd.Start(); err != nil {
		return nil, cannotRun("%s: %v", name, err)
	}
	p.mu.Lock()
	p.procs = append(p.procs, proc)
	p.mu.Unlock()
	p.say("%s: started: %s", name, command)
	go func() {
		err := cmd.Wait()
		p.say("%s: ended: %v", name, err)
		close(proc.ended)
	}()
	return proc, nil
}

// signal sends a signal to the process.
func (x *process) signal(s syscall.Signal) {
	x.play.say("%s: gets %v", x.name, s)
	x.cmd.Process.Signal(s)
}

// wait waits for the end of the process, at most for d.
func (x *process) wait(d time.Duration) bool {
	select {
	case <-x.ended:
		return true
	case <-time.After(d):
		return false
	}
}

// endAll kills all processes of the run and appends what they wrote to the record.
func (p *play) endAll() {
	for _, x := range p.procs {
		syscall.Kill(-x.cmd.Process.Pid, syscall.SIGCONT)
		syscall.Kill(-x.cmd.Process.Pid, syscall.SIGKILL)
		x.wait(5 * time.Second)
	}
	for _, x := range p.procs {
		p.say("output of %s:\n%s", x.name, x.output.String())
	}
}

// runCommand returns the command of the deploy file that starts a front.
func (p *play) runCommand() (string, error) {
	text, err := os.ReadFile(filepath.Join(p.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", cannotRun("%v", err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), `run = "`); ok {
			return strings.TrimSuffix(value, `"`), nil
		}
	}
	return "", cannotRun("no run command in the deploy file")
}

// get calls an operators' address and returns the status, 0 without an answer.
func call(method, addr, path string) (int, string) {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, _ := http.NewRequest(method, "http://"+addr+path, nil)
	resp, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// awaitYes waits until an address answers a path with 200.
func awaitYes(addr, path string, d time.Duration) error {
	for end := time.Now().Add(d); ; time.Sleep(2 * time.Millisecond) {
		if status, _ := call("GET", addr, path); status == 200 {
			return nil
		}
		if time.Now().After(end) {
			return cannotRun("%s%s: no 200 within %v", addr, path, d)
		}
	}
}

// object is a JSON object.
type object map[string]any

// host is an entry of discovery's list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// discovery is the stand-in for the front's discovery agent: it answers at once with what it has, or holds a watch.
type discovery struct {
	addr string
	mu   sync.Mutex
	seq  int
	list []host
}

func newDiscovery(list []host) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{addr: l.Addr().String(), seq: 41, list: list}
	go http.Serve(l, d)
	return d, nil
}

func (d *discovery) whole() object {
	d.mu.Lock()
	defer d.mu.Unlock()
	return object{"seq": d.seq, "whole": true, "hosts": d.list}
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from != d.seq {
		json.NewEncoder(w).Encode(d.whole())
		return
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	select {
	case <-r.Context().Done():
	case <-time.After(time.Duration(min(hold, 60000)) * time.Millisecond):
	}
	json.NewEncoder(w).Encode(object{"seq": d.seq, "whole": false, "hosts": []host{}})
}

// job is a request as it came at a chunk server.
type job struct {
	node, id, key, volume, class string
	units                        float64
	at, done                     time.Time // when its last byte had come, and when its work was done; done is zero before
	told                         time.Duration
}

// node is the stand-in for a chunk server. It works through requests in turn of arrival, on one or more cores.
type node struct {
	host
	play   *play
	work   func(j *job) time.Duration // the work of a request
	cores  chan struct{}
	hung   atomic.Bool                                          // it takes requests and never answers
	answer func(w http.ResponseWriter, r *http.Request, j *job) // writes the answer, nil for a short one
	quiet  bool                                                 // no line in the record for each request

	mu   sync.Mutex
	jobs []*job
}

func (p *play) newNode(name string, block, cores int, work func(*job) time.Duration) (*node, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, cannotRun("%v", err)
	}
	n := &node{play: p, work: work, cores: make(chan struct{}, cores), host: host{
		Host: name, Dial: l.Addr().String(), Site: "a", Class: "m", Block: block, Health: "up", Share: 1,
	}}
	go (&http.Server{Handler: n}).Serve(l)
	return n, nil
}

func (n *node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // its last byte never came
	}
	id := r.Header.Get("X-Correlation-Id")
	switch {
	case r.URL.Path == "/health":
		return
	case id == "":
		http.Error(w, "no id", http.StatusNotFound)
		return
	}
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	j := &job{node: n.Host, id: id, at: time.Now(), told: parseTime(r.Header.Get("X-Time-Left"))}
	if len(parts) == 3 {
		j.class, j.volume, j.key = parts[0], parts[1], parts[2]
	}
	shard := -2
	for pair := range strings.SplitSeq(r.Header.Get("X-IO"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		switch name {
		case "units":
			j.units, _ = strconv.ParseFloat(value, 64)
		case "shard":
			shard, _ = strconv.Atoi(value)
		}
	}
	if shard != n.Block && shard != -1 {
		w.Header().Set("X-Unprocessed", "1")
		http.Error(w, "another shard", http.StatusServiceUnavailable)
		return
	}
	n.mu.Lock()
	n.jobs = append(n.jobs, j)
	n.mu.Unlock()
	if !n.quiet {
		n.play.say("%s: %s of key %s came whole, %.0f units, told %v", n.Host, id, j.key, j.units, j.told)
	}
	if n.hung.Load() {
		<-r.Context().Done()
		return
	}
	n.cores <- struct{}{}
	time.Sleep(n.work(j))
	<-n.cores
	n.mu.Lock()
	j.done = time.Now()
	n.mu.Unlock()
	if n.answer != nil {
		n.answer(w, r, j)
		return
	}
	fmt.Fprintf(w, "answer to %s, %d bytes were sent", id, len(body))
	if !n.quiet {
		n.play.say("%s: %s answered", n.Host, id)
	}
}

// taken returns copies of the requests that came so far.
func (n *node) taken() (out []job) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, j := range n.jobs {
		out = append(out, *j)
	}
	return out
}

func parseTime(text string) time.Duration {
	unit := time.Microsecond
	digits, ok := strings.CutSuffix(text, "u")
	if !ok {
		digits, unit = strings.TrimSuffix(text, "m"), time.Millisecond
	}
	n, _ := strconv.ParseFloat(digits, 64)
	return time.Duration(n * float64(unit))
}

// request is a client's request.
type request struct {
	id, class, volume, key, plan string
	write                        bool
	units, shard                 int
	left                         time.Duration
	body                         string // of a write, empty for a short one
}

// text returns the request as a client writes it.
func (r request) text() string {
	method, extra, body := "GET", "", ""
	if r.write {
		method, body = "PUT", cmp.Or(r.body, "data of "+r.id)
		extra = fmt.Sprintf("Idempotency-Key: %s\r\nContent-Length: %d\r\n", r.id, len(body))
	}
	return fmt.Sprintf("%s /%s/%s/%s HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Plan: %s\r\n"+
		"X-Time-Left: %dm\r\nX-IO: units=%d,shard=%d,hosts=1\r\n%s\r\n%s", method, r.class, r.volume, r.key, r.id, r.class, r.plan,
		r.left.Milliseconds(), r.units, r.shard, extra, body)
}

// settings returns the settings of a small deployment. change may change them.
func settings(change func(s object)) object {
	class := func(name, semantics string, aim, giveUp time.Duration) object {
		return object{
			"name": name, "aimUs": aim.Microseconds(), "giveUpUs": giveUp.Microseconds(), "semantics": semantics, "group": "cell",
			"windowUs": 3000000, "credit": 2.0, "lateShare": 0.2, "stream": false,
		}
	}
	s := object{
		"balancers": 1, "slotNo": 0, "tickUs": 2000, "registryMode": "pushed", "serviceType": "stores", "zones": []string{"a"}, "myZone": 0,
		"ceilings": object{
			"cancel": true, "connIdleUs": 15000000, "connectTimeoutUs": 250000, "maxOpen": 256, "maxRetryAfterUs": 500000, "maxStreams": 1,
			"mayDuplicate": false, "peers": false, "probing": true, "retryAfter": true, "tryLimit": 4,
		},
		"classes": []object{
			class("read", "retryable", 300*time.Millisecond, 2500*time.Millisecond), class("write", "dedup", 400*time.Millisecond, 2*time.Second),
			class("bulk-read", "retryable", 2*time.Second, 6*time.Second),
		},
		"clients": object{"marksRetry": true},
		"contracts": []object{
			{"name": "basic", "ceilingRate": 12.0, "floorRate": 0.0, "limitBurst": 36.0, "shares": 1.0, "slack": 6.0, "usualRate": 3.0, "worthFactor": 1.0},
			{"name": "business", "ceilingRate": 0.0, "floorRate": 12.0, "limitBurst": 0.0, "shares": 1.0, "slack": 0.0, "usualRate": 12.0, "worthFactor": 1.5},
		},
		"familyInfo": object{
			"classWrites": []bool{false, true, false}, "coldUnits": 8.0, "meanUnits": 2.08, "meteringUs": 0, "mostUnits": 6, "saysOthers": false, "shards": 16,
		},
		"report": object{"fields": []string{}, "how": "off"},
		"safety": object{
			"askWithinUs": 10000000, "coldFrom": 0.2, "drainGraceUs": 500000, "fallMultiple": 2.5, "fallUs": 1000000, "graceToAnswerUs": 8000,
			"rampTimeUs": 17000000,
		},
	}
	if change != nil {
		change(s)
	}
	return s
}

// front is a front of the platform: its address, its configuration and, after an upgrade, several processes.
type front struct {
	play      *play
	listen    string
	control   string // of the process that was started last
	config    string // path
	tmp       string // $TMPDIR
	discovery string
	accept    *os.File
	count     int
}

// newFront writes the configuration of a front. If held is set, the platform holds the clients' listening socket.
func (p *play) newFront(d *discovery, set object, held bool) (*front, error) {
	f := &front{play: p, listen: freeAddr(), config: filepath.Join(p.dir, "config.json"), tmp: filepath.Join(p.dir, "tmp"), discovery: d.addr}
	f.control = freeAddr()
	if err := os.MkdirAll(f.tmp, 0o700); err != nil {
		return nil, err
	}
	if held {
		l, err := net.Listen("tcp", f.listen)
		if err != nil {
			return nil, cannotRun("%v", err)
		}
		if f.accept, err = l.(*net.TCPListener).File(); err != nil {
			return nil, cannotRun("%v", err)
		}
		l.Close() // the duplicate keeps the socket open
	}
	text, err := json.MarshalIndent(object{
		"name": "n0", "listen": f.listen, "control": f.control, "discovery": f.discovery, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "peer_listen": "", "peers": []string{}, "known": d.whole(), "settings": set,
	}, "", " ")
	if err != nil {
		return nil, err
	}
	return f, os.WriteFile(f.config, text, 0o600)
}

// start starts a process of the front; those after the first get an operators' address of their own.
func (f *front) start() (*process, error) {
	command, err := f.play.runCommand()
	if err != nil {
		return nil, err
	}
	env := []string{
		"RELAY_NAME=n0", "RELAY_LISTEN=" + f.listen, "RELAY_DISCOVERY=" + f.discovery, "RELAY_CONFIG=" + f.config, "TMPDIR=" + f.tmp,
	}
	if f.accept != nil {
		env = append(env, "RELAY_ACCEPT_FD=7")
	}
	if f.count++; f.count > 1 {
		f.control = freeAddr()
	}
	env = append(env, "RELAY_CONTROL="+f.control)
	return f.play.start(fmt.Sprintf("front process %d", f.count), command, env, f.accept)
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
