package main

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
	"runtime"
	"sync"
	"syscall"
	"time"
)

// object is a JSON object.
type object map[string]any

// settings returns the settings of a small deployment: the figures of the operators' brief and of the example in their pages.
func settings(shards, attempts int) object {
	return object{
		"balancers": 1, "slotNo": 0, "tickUs": 2000, "zones": []string{"hall-a", "hall-b"}, "registryMode": "pushed",
		"ceilings": object{
			"cancel": true, "connIdleUs": 15000000, "connectTimeoutUs": 250000, "maxOpen": 400, "maxRetryAfterUs": 500000,
			"mayDuplicate": false, "peers": false, "probing": true, "retryAfter": true, "tryLimit": attempts,
		},
		"classes": []object{
			{"aimUs": 300000, "credit": 2.0, "giveUpUs": 2500000, "group": "all", "lateShare": 0.2, "name": "read", "semantics": "retryable", "windowUs": 5000000},
			{"aimUs": 400000, "credit": 2.0, "giveUpUs": 2000000, "group": "cell", "lateShare": 0.1, "name": "write", "semantics": "dedup", "windowUs": 3000000},
			{"aimUs": 2000000, "credit": 1.0, "giveUpUs": 6000000, "group": "all", "lateShare": 0.3, "name": "bulk-read", "semantics": "retryable", "windowUs": 5000000},
		},
		"contracts":  []object{{"ceilingRate": 0.0, "floorRate": 0.0, "limitBurst": 0.0, "name": "team", "shares": 1.0, "slack": 0.0}},
		"familyInfo": object{"classWrites": []bool{false, true, false}, "coldUnits": 8.0, "meanUnits": 2.08, "mostUnits": 6, "saysOthers": false, "shards": shards},
		"report":     object{"fields": []string{"backlog", "outstanding"}, "how": "on_probe"},
		"safety": object{
			"askWithinUs": 10000000, "coldFrom": 0.2, "drainGraceUs": 500000, "fallMultiple": 2.5, "fallUs": 1000000,
			"graceToAnswerUs": 8000, "rampTimeUs": 17000000,
		},
	}
}

// site is a front with its surroundings, as the platform starts it.
type site struct {
	*run
	discovery *discovery
	listen    string
	listener  *os.File // the clients' listening socket where the platform holds it, nil otherwise
	config    object
	tmpdir    string
}

// newSite prepares a front with the given settings and memory. With held, the platform holds the clients' listening socket.
func (r *run) newSite(d *discovery, s object, memoryMB int, held bool) (*site, error) {
	out := &site{run: r, discovery: d, tmpdir: filepath.Join(r.folder, "front")}
	if err := os.MkdirAll(out.tmpdir, 0o700); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	out.listen = l.Addr().String()
	if held {
		if out.listener, err = l.(*net.TCPListener).File(); err != nil {
			return nil, err
		}
	}
	l.Close()
	out.config = object{
		"name": "n1", "listen": out.listen, "discovery": d.addr, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024}, "peers": []string{}, "known": d.list(), "settings": s,
	}
	return out, nil
}

// front is a process of a front.
type front struct {
	name    string
	control string
	cmd     *exec.Cmd
	ended   chan struct{}
	once    sync.Once
}

// runCommand returns the run command of the deploy file.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	if found == nil {
		return "", errors.New("deploy/balancer.toml: no run command")
	}
	return string(found[1]), nil
}

// start starts a process of the front, and returns it at once.
func (s *site) start(name string) (*front, error) {
	command, err := runCommand()
	if err != nil {
		return nil, err
	}
	control, err := freeAddr()
	if err != nil {
		return nil, err
	}
	s.config["control"] = control
	text, err := json.MarshalIndent(s.config, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(s.folder, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	f := &front{name: name, control: control, ended: make(chan struct{})}
	f.cmd = exec.Command("/bin/sh", "-c", command)
	f.cmd.Env = append(os.Environ(), "RELAY_NAME=n1", "RELAY_LISTEN="+s.listen, "RELAY_DISCOVERY="+s.discovery.addr,
		"RELAY_CONFIG="+path, "RELAY_CONTROL="+control, "TMPDIR="+s.tmpdir)
	if s.listener != nil {
		f.cmd.ExtraFiles = []*os.File{nil, nil, nil, nil, s.listener} // descriptor 7
		f.cmd.Env = append(f.cmd.Env, "RELAY_ACCEPT_FD=7")
	}
	f.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.launch(f); err != nil {
		return nil, err
	}
	s.logf("platform: started %s, process %d, control %s", name, f.cmd.Process.Pid, control)
	return f, nil
}

// launch starts a prepared process, which ends with this one at the latest.
func (r *run) launch(f *front) error {
	log, err := f.cmd.StderrPipe()
	if err != nil {
		return err
	}
	started := make(chan error, 1)
	go func() { // on a thread of its own, as Pdeathsig goes by the thread that started the process
		runtime.LockOSThread()
		started <- f.cmd.Start()
		<-f.ended
	}()
	if err := <-started; err != nil {
		return err
	}
	r.mu.Lock()
	r.running = append(r.running, f)
	r.mu.Unlock()
	go func() {
		for lines := bufio.NewScanner(log); lines.Scan(); {
			r.logf("log of %s: %s", f.name, lines.Text())
		}
		err := f.cmd.Wait()
		r.logf("platform: %s ended: %v", f.name, err)
		close(f.ended)
	}()
	return nil
}

// startReady starts a process and waits until it is ready.
func (s *site) startReady(name string) (*front, error) {
	f, err := s.start(name)
	if err != nil {
		return nil, err
	}
	return f, s.awaitHealthy(f, 10*time.Second)
}

// awaitHealthy waits until the process says yes to its health check.
func (s *site) awaitHealthy(f *front, timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if status, _ := operatorCall("GET", f.control, "/healthcheck"); status == http.StatusOK {
			s.logf("platform: %s says yes", f.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", f.name, timeout)
}

func (f *front) signal(s syscall.Signal) {
	select {
	case <-f.ended:
	default:
		f.cmd.Process.Signal(s)
	}
}

func (f *front) kill() {
	f.signal(syscall.SIGKILL)
	select {
	case <-f.ended:
	case <-time.After(5 * time.Second):
	}
}

// hasEnded reports whether the process has ended.
func (f *front) hasEnded() bool {
	select {
	case <-f.ended:
		return true
	default:
		return false
	}
}

// operatorCall makes one call to the operators' address.
func operatorCall(method, addr, path string) (int, error) {
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		return 0, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// freeAddr returns a free loopback address.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
