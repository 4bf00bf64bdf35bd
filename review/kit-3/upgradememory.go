package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case: memory and descriptors as on the hard days of the operators' page, and the load of those days.
const (
	memoryMB     = 64
	memoryBodies = 340
	bodyRate     = 64_000 // bytes per second, the slowest client
)

// playUpgradeMemory upgrades a front while clients send bodies slowly. Without the disruption the front is not upgraded.
func playUpgradeMemory(r *run) error {
	s, err := r.newServer("s-0000000a", 0, func(q request) (int, string, bool) {
		time.Sleep(5 * time.Millisecond)
		return 200, "ran " + q.id, true
	})
	if err != nil {
		return err
	}
	d, err := newDiscovery([]host{s.host})
	if err != nil {
		return err
	}
	place, err := r.newSite(d, settings(1, 4), memoryMB, true)
	if err != nil {
		return err
	}
	place.config["limits"] = object{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024}
	old, err := place.startReady("old")
	if err != nil {
		return err
	}
	var peak atomic.Int64
	done := make(chan struct{})
	var watcher sync.WaitGroup
	watcher.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
			total, parts := int64(0), ""
			r.mu.Lock()
			running := r.running
			r.mu.Unlock()
			for _, f := range running {
				if !f.hasEnded() {
					n := residentKB(f.cmd.Process.Pid)
					total += n
					parts += fmt.Sprintf(" %s %d", f.name, n)
				}
			}
			if total > peak.Load() {
				peak.Store(total)
				r.logf("platform: memory %d kB:%s", total, parts)
			}
		}
	})
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range memoryBodies {
		clients.Go(func() { place.sendSlowBodies(n, stop) })
	}
	time.Sleep(4 * time.Second)
	if r.trouble {
		if _, err := place.startReady("new"); err != nil {
			return err
		}
		old.signal(syscall.SIGTERM)
		r.logf("platform: SIGTERM to old")
	}
	time.Sleep(5 * time.Second)
	close(stop)
	clients.Wait()
	close(done)
	watcher.Wait()
	if peak.Load() > memoryMB<<10 {
		r.breaks("the processes of the front held %d kB together, memory_mb is %d", peak.Load(), memoryMB)
	}
	return r.result()
}

// sendSlowBodies sends one write after another, each with a body of 60 kB at the rate of the slowest client.
func (s *site) sendSlowBodies(n int, stop <-chan struct{}) {
	body := bytes.Repeat([]byte{'x'}, 60_000)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("%08x%08x", n, i)
		text, _ := message("write", "00000003b4d60021", id, id, "key-"+id, 0, 2*time.Second, body)
		c, err := dial(s.listen)
		if err != nil {
			continue
		}
		go func() {
			for len(text) > 0 {
				part := min(len(text), bodyRate/20)
				if _, err := io.WriteString(c, text[:part]); err != nil {
					return
				}
				text = text[part:]
				time.Sleep(50 * time.Millisecond)
			}
		}()
		a := c.read(5 * time.Second)
		s.logf("client %d: status %d, error: %v", n, a.status, a.err)
		c.Close()
	}
}

func residentKB(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return n
		}
	}
	return 0
}
