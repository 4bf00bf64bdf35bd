package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case. The grace is drainGraceUs of the settings.
const (
	rackSize   = 40
	otherRack  = 8
	drainGrace = 500 * time.Millisecond
)

// playUpgradeBan has operators leave out the chunk servers of a rack, one call after another, while the front is upgraded. Without the
// disruption the front is not upgraded.
func playUpgradeBan(r *run) error {
	var servers []*server
	var hosts []host
	for i := range rackSize + otherRack {
		s, err := r.newServer(fmt.Sprintf("s-%08x", 0x5be2a000+i), i, func(q request) (int, string, bool) {
			time.Sleep(5 * time.Millisecond)
			return 200, "ran " + q.id, true
		})
		if err != nil {
			return err
		}
		servers = append(servers, s)
		hosts = append(hosts, s.host)
	}
	d, err := newDiscovery(hosts)
	if err != nil {
		return err
	}
	place, err := r.newSite(d, settings(len(hosts), 4), 192, true)
	if err != nil {
		return err
	}
	old, err := place.startReady("old")
	if err != nil {
		return err
	}
	load := place.startLoad(len(hosts))
	time.Sleep(time.Second)
	var successor *front
	if r.trouble {
		if successor, err = place.start("new"); err != nil {
			return err
		}
	}
	answeredAt := make([]time.Time, rackSize)
	for i, s := range servers[:rackSize] {
		status, err := operatorCall("POST", old.control, "/chunk-servers/"+s.Host+"/maint")
		answeredAt[i] = time.Now()
		r.logf("operators: leave out %s: status %d, error: %v", s.Host, status, err)
		if status != http.StatusOK {
			return fmt.Errorf("call out of %s: status %d, error %v", s.Host, status, err)
		}
	}
	if successor != nil {
		if err := place.awaitHealthy(successor, 6*time.Second); err != nil {
			return err
		}
		old.signal(syscall.SIGTERM)
		r.logf("platform: SIGTERM to old")
	}
	time.Sleep(5 * time.Second)
	load.stop()
	var late []string
	for i, s := range servers[:rackSize] {
		s.mu.Lock()
		count, worst := 0, time.Duration(0)
		for _, at := range s.times {
			if after := at.Sub(answeredAt[i]); after > drainGrace {
				count++
				worst = max(worst, after)
			}
		}
		total := len(s.times)
		s.mu.Unlock()
		r.logf("chunk server %s: %d requests, %d of them after the grace, up to %v after the yes", s.Host, total, count, worst)
		if count > 0 {
			late = append(late, fmt.Sprintf("%s (%d requests, up to %v after the yes)", s.Host, count, worst.Round(time.Millisecond)))
		}
	}
	if len(late) > 0 {
		r.breaks("%d chunk servers that were left out by hand got new requests after the grace: %s", len(late), strings.Join(late, ", "))
	}
	return r.result()
}

// load is a number of clients that read from all shards in turn.
type load struct {
	ended   chan struct{}
	clients sync.WaitGroup
}

const loadClients = 8

// startLoad starts clients that send some 200 reads a second.
func (s *site) startLoad(shards int) *load {
	l := &load{ended: make(chan struct{})}
	for n := range loadClients {
		l.clients.Go(func() {
			var c *client
			for i := n; ; i += loadClients {
				select {
				case <-l.ended:
					return
				case <-time.After(loadClients * 5 * time.Millisecond):
				}
				id := fmt.Sprintf("%08x%08x", n, i)
				text, _ := message("read", fmt.Sprintf("%016x", i%shards), fmt.Sprintf("%016x", i), id, "", i%shards, time.Second, nil)
				if c == nil {
					var err error
					if c, err = dial(s.listen); err != nil {
						s.logf("client %d: %v", n, err)
						continue
					}
				}
				a := c.do(text, 3*time.Second)
				s.logf("client %d: read %s from shard %d: status %d, error: %v", n, id, i%shards, a.status, a.err)
				if a.err != nil {
					c.Close()
					c = nil
				}
			}
		})
	}
	return l
}

func (l *load) stop() {
	close(l.ended)
	l.clients.Wait()
}
