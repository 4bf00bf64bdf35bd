package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["ban"] = ban }

// ban: an operator's tool takes the chunk servers out one after the other while the platform upgrades the front. Each call that was
// answered yes binds the front until the call back, both its processes. This is repeated for several upgrades.
func ban(p *play) error {
	const servers, rounds, clients = 20, 12, 8
	var nodes []*node
	var list []host
	for i := range servers {
		n, err := p.newNode(fmt.Sprintf("s-%02d", i), i, 2, func(*job) time.Duration { return 20 * time.Millisecond })
		if err != nil {
			return err
		}
		n.quiet = true
		nodes, list = append(nodes, n), append(list, n.host)
	}
	d, err := newDiscovery(list)
	if err != nil {
		return err
	}
	f, err := p.newFront(d, settings(func(s object) { s["familyInfo"].(object)["shards"] = servers }), true)
	if err != nil {
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
	var readers sync.WaitGroup
	var served atomic.Int64
	for range clients {
		readers.Go(func() { p.readAnywhere(f.listen, servers, &stop, &served) })
	}
	time.Sleep(15 * time.Second)
	yesAfter := 25 * time.Millisecond // time from the start of a process to its yes, as of the last upgrade
	for round := range rounds {
		control, next, began := f.control, old, time.Now()
		if p.trouble {
			if next, err = f.start(); err != nil {
				return err
			}
		}
		saidYes := make([]time.Time, servers)
		ready := make(chan error, 1)
		if p.trouble {
			go func() {
				err := awaitYes(f.control, "/healthcheck", 6*time.Second)
				p.say("the new process says yes, %v after its start", time.Since(began))
				if err == nil {
					yesAfter = time.Since(began)
				}
				ready <- err
			}()
		}
		span := yesAfter
		for i, n := range nodes { // one call after the other to the process that serves, over the time that an upgrade takes
			time.Sleep(time.Until(began.Add(span * time.Duration(i*rounds+round) / (servers * rounds))))
			status, _ := call("POST", control, "/chunk-servers/"+n.Host+"/maint")
			if status != 200 {
				return cannotRun("maint of %s: %d", n.Host, status)
			}
			saidYes[i] = time.Now()
			p.say("operator: %s out: yes", n.Host)
		}
		if p.trouble {
			if err := <-ready; err != nil {
				return err
			}
			old.signal(syscall.SIGTERM)
			if !old.wait(3700 * time.Millisecond) { // the longest deadline, which counts as 3 s here, and 0.7 s
				old.signal(syscall.SIGKILL)
			}
		}
		time.Sleep(time.Until(began.Add(1500 * time.Millisecond)))
		for i, n := range nodes {
			sent, first := 0, job{}
			for _, j := range n.taken() {
				if j.at.Sub(saidYes[i]) > 550*time.Millisecond {
					if sent++; sent == 1 {
						first = j
					}
				}
			}
			if sent > 0 {
				p.breaks("upgrade %d: %d requests were sent to %s, the first, %s, %v after the front had said yes to leave it out",
					round+1, sent, n.Host, first.id, first.at.Sub(saidYes[i]))
			}
			if status, _ := call("POST", f.control, "/chunk-servers/"+n.Host+"/ready"); status != 200 {
				return cannotRun("call back of %s: %d", n.Host, status)
			}
			n.mu.Lock()
			n.jobs = nil
			n.mu.Unlock()
		}
		old = next
	}
	stop.Store(true)
	readers.Wait()
	if served.Load() < 500 {
		return cannotRun("%d reads were served", served.Load())
	}
	return nil
}

// readAnywhere sends reads of all shards over one connection until stop is set. If it ends it is opened anew.
func (p *play) readAnywhere(addr string, shards int, stop *atomic.Bool, served *atomic.Int64) {
	for !stop.Load() {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		in := bufio.NewReader(c)
		for !stop.Load() {
			time.Sleep(20 * time.Millisecond)
			r := request{
				id: p.newID(), class: "read", volume: fmt.Sprintf("%016x", rand.IntN(40)), key: "7f3a9c21e0b4d655", plan: "business", units: 1,
				shard: rand.IntN(shards), left: 400 * time.Millisecond,
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
		}
		c.Close()
	}
}
