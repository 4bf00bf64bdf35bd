package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["upgrade-memory"] = upgradeMemory }

// memoryOf returns the memory of a process's own and its pages of files, in bytes.
func memoryOf(x *process) (own, files int64) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", x.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		var kb int64
		name, value, _ := strings.Cut(line, ":")
		fmt.Sscan(value, &kb)
		switch name {
		case "RssAnon", "RssShmem":
			own += kb << 10
		case "RssFile":
			files = kb << 10
		}
	}
	return own, files
}

// stopHalfWay is a client of a crowd: it connects, sends a request but for the last byte of its body, and stays until the front ends the
// connection. Then it comes again.
func (p *play) stopHalfWay(addr string, stop *atomic.Bool, ended *atomic.Int64) {
	const bodyBytes = 64 << 10
	body := strings.Repeat("b", bodyBytes-1)
	for !stop.Load() {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.SetDeadline(time.Now().Add(10 * time.Second))
		r := request{id: p.newID(), class: "write", volume: "00000003b4d600ff", key: "7f3a9c21e0b4d6ff", plan: "business", write: true, units: 1, left: 1900 * time.Millisecond, body: body + "b"}
		text := r.text()
		io.WriteString(c, text[:len(text)-1])
		io.Copy(io.Discard, c)
		c.Close()
		ended.Add(1)
		time.Sleep(50 * time.Millisecond)
	}
}

// upgradeMemory: half the memory and descriptors, a crowd of clients that stop half way, and then an upgrade. The platform counts
// the memory of both processes together, and kills the front above its limit.
func upgradeMemory(p *play) error {
	const crowd, memoryMB, sockets = 600, 96, 512
	n, err := p.newNode("s-1", 0, 8, func(*job) time.Duration { return 20 * time.Millisecond })
	if err != nil {
		return err
	}
	n.quiet = true
	d, err := newDiscovery([]host{n.host})
	if err != nil {
		return err
	}
	f, err := p.newFront(d, settings(nil), true)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(f.config)
	if err != nil {
		return err
	}
	half := strings.NewReplacer(`"memory_mb": 192`, fmt.Sprintf(`"memory_mb": %d`, memoryMB), `"sockets": 1024`, fmt.Sprintf(`"sockets": %d`, sockets))
	if err := os.WriteFile(f.config, []byte(half.Replace(string(text))), 0o600); err != nil {
		return err
	}
	old, err := f.start()
	if err != nil {
		return err
	}
	if err := awaitYes(f.control, "/healthcheck", 10*time.Second); err != nil {
		return err
	}
	var stop atomic.Bool
	var all sync.WaitGroup
	var served, ended atomic.Int64
	p.readers(f.listen, 0, &stop, &all, &served)
	time.Sleep(time.Second)
	for i := range crowd {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 2 * time.Second / crowd)
			p.stopHalfWay(f.listen, &stop, &ended)
		})
	}
	// watch does the platform's part: it counts the memory of the front's processes for a time, and kills them above the limit.
	watch := func(d time.Duration, processes ...*process) (within bool) {
		var most int64
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			var sum, files int64
			for _, x := range processes {
				own, mapped := memoryOf(x)
				sum += own
				files = max(files, mapped) // the program's pages count once
			}
			if sum += files; sum > memoryMB<<20 {
				p.breaks("the front had %.1f MB, %d are allowed: it is killed, %d reads were served so far", float64(sum)/(1<<20), memoryMB, served.Load())
				for _, x := range processes {
					x.signal(syscall.SIGKILL)
				}
				return false
			}
			most = max(most, sum)
		}
		p.say("platform: the front had %.1f MB at most in %v, %d processes", float64(most)/(1<<20), d, len(processes))
		return true
	}
	defer all.Wait()
	defer stop.Store(true)
	if !watch(10*time.Second, old) {
		return nil
	}
	if served.Load() < 100 {
		return cannotRun("%d reads were served beside the crowd", served.Load())
	}
	if !p.trouble {
		watch(8*time.Second, old)
		return nil
	}
	next, err := f.start()
	if err != nil {
		return err
	}
	go func() {
		if awaitYes(f.control, "/healthcheck", 6*time.Second) == nil {
			p.say("the new process says yes")
			old.signal(syscall.SIGTERM)
		}
	}()
	if !watch(3700*time.Millisecond, old, next) {
		return nil
	}
	old.signal(syscall.SIGKILL)
	watch(4300*time.Millisecond, next)
	return nil
}
