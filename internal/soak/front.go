package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"otterturn/internal/lab/faults"
	"otterturn/internal/soak/audit"
	"otterturn/internal/soak/peers"
)

// front is one front of the fleet. Its processes follow one another; at most one runs at a time.
type front struct {
	run        *Run
	number     int
	name       string
	appliance  bool
	logBlocked bool // its log goes to a full pipe that nobody reads
	addr       string
	sftp       string // SFTP address, appliance only
	control    string // control address, platform only
	config     string
	folder     string
	agent      *peers.Agent
	random     *rand.Rand
	logPipe    *os.File

	mu          sync.Mutex
	faultRandom *rand.Rand // draws system calls and their errors, guarded by mu

	acceptFailedAt time.Time // when a failure of accept was last injected
	target         peers.Target
	longest        time.Duration // longest deadline of the settings in force
	cmd            *exec.Cmd
	ended          chan struct{}
	process        int
	injector       *faults.Injector
	starts         int
}

// readyTimeout is how long a front may take to become ready.
const readyTimeout = 10 * time.Second

// Target returns where the front's clients connect.
func (f *front) Target() peers.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.target
}

// sftpTarget returns where clients of the file protocol connect.
func (f *front) sftpTarget() peers.Target {
	t := f.Target()
	t.Addr = f.sftp
	return t
}

func (f *front) setOpen(open bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.target.Open = open
}

// start starts a process and lets clients connect once it is ready.
func (f *front) start() error {
	f.starts++
	cmd := exec.Command(f.run.binary)
	if f.appliance {
		cmd.Args = append(cmd.Args, "serve", "--config", f.config)
	}
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+f.config, "TMPDIR="+f.folder)
	log, err := f.openLog()
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = nil, log
	calls := callNumbers(socketFailures)
	switch {
	case f.appliance:
		calls = callNumbers(socketFailures, fileFailures)
	case f.number%3 == 1:
		calls = callNumbers(socketFailures, streamFailures)
	}
	process := f.run.record.AddProcess(audit.Process{Front: f.number, Name: fmt.Sprintf("%s.%d", f.name, f.starts)})
	injector, err := faults.Start(cmd, f.run.wrapper, calls...)
	if err != nil {
		return fmt.Errorf("%s: %w", f.name, err)
	}
	ended := make(chan struct{})
	go f.wait(cmd, process, ended)
	go f.watchMemory(cmd.Process, process, ended)
	f.mu.Lock()
	f.cmd, f.ended, f.process, f.injector = cmd, ended, process, injector
	f.target = peers.Target{Addr: f.addr, Process: process, Longest: f.longest}
	f.mu.Unlock()
	if !f.awaitReady() {
		f.run.record.UpdateProcess(process, func(p *audit.Process) { p.NotReady = true })
		return nil
	}
	if f.logBlocked {
		fillPipe(f.logPipe)
	}
	f.run.record.UpdateProcess(process, func(p *audit.Process) { p.ReadyAt = f.run.clock() })
	f.setOpen(true)
	return nil
}

// wait records the end of a process.
func (f *front) wait(cmd *exec.Cmd, process int, ended chan struct{}) {
	cmd.Wait()
	status := cmd.ProcessState.Sys().(syscall.WaitStatus)
	f.run.record.UpdateProcess(process, func(p *audit.Process) {
		p.ExitedAt, p.Status = f.run.clock(), status.ExitStatus()
		p.Crashed = p.KilledAt == 0 && (p.TermAt == 0 || status.ExitStatus() != 0)
	})
	close(ended)
}

func (f *front) hasEnded() bool {
	select {
	case <-f.ended:
		return true
	default:
		return false
	}
}

// awaitReady waits until the process is ready, and reports whether it became so in time.
func (f *front) awaitReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end) && !f.hasEnded(); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + f.addr + "/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

func (f *front) signal(s syscall.Signal) {
	if !f.hasEnded() {
		f.cmd.Process.Signal(s)
	}
}

// stall stops the process for a time, as a busy machine would.
func (f *front) stall(d time.Duration) {
	span := audit.Span{From: f.run.clock()}
	f.signal(syscall.SIGSTOP)
	time.Sleep(d)
	f.signal(syscall.SIGCONT)
	span.To = f.run.clock()
	f.run.record.UpdateProcess(f.process, func(p *audit.Process) { p.Stalls = append(p.Stalls, span) })
}

// reload changes the front's longest deadline. Until the new settings are in force, clients use the shorter of both deadlines.
func (f *front) reload(longest time.Duration) error {
	f.mu.Lock()
	f.target.Longest = min(f.target.Longest, longest)
	f.mu.Unlock()
	time.Sleep(f.longest / 4) // earlier requests have less time left by then
	text := f.run.scenario.platformConfig(f.addr, f.control, f.agent.Addr, f.run.discovery.FullList(), longest)
	for f.randomBelow(3) > 0 { // truncated files come first
		os.WriteFile(f.config, text[:f.randomBelow(len(text))], 0o600)
		f.signal(syscall.SIGHUP)
		time.Sleep(reloadPause)
	}
	if err := os.WriteFile(f.config, text, 0o600); err != nil {
		return err
	}
	f.signal(syscall.SIGHUP)
	time.Sleep(maxReloadTime)
	f.mu.Lock()
	f.longest, f.target.Longest = longest, longest
	f.mu.Unlock()
	return nil
}

// reloadPause is the pause between two configuration files in quick succession.
const reloadPause = 100 * time.Millisecond

// maxReloadTime is how long new settings take at most to come into force.
const maxReloadTime = 1200 * time.Millisecond

// kill sends SIGKILL and waits for the end of the process.
func (f *front) kill() {
	if f.hasEnded() {
		return
	}
	f.run.record.UpdateProcess(f.process, func(p *audit.Process) { p.KilledAt = f.run.clock() })
	f.signal(syscall.SIGKILL)
	<-f.ended
}

// freeAddr finds a free port on a loopback address that only this run uses.
func freeAddr(number int) (string, error) {
	pid := os.Getpid()
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>8&0x3f, pid&0xff, 1+number%250))
		if err != nil {
			return "", err
		}
		addr := l.Addr().String()
		l.Close()
		if _, used := addrsInUse.LoadOrStore(addr, true); !used {
			return addr, nil
		}
	}
}

// addrsInUse holds the addresses that freeAddr has returned: a port that is closed again may be offered a second time.
var addrsInUse sync.Map
