package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["order"] = order }

// order: writes of one piece of data, of a class that is handled in turn per key, keep coming over four connections while the
// platform upgrades the front once. They may only reach the chunk server one at a time.
func order(p *play) error {
	const clients, left = 4, 1900 * time.Millisecond
	n, err := p.newNode("s-1", 0, 2, func(*job) time.Duration { return 90 * time.Millisecond })
	if err != nil {
		return err
	}
	d, err := newDiscovery([]host{n.host})
	if err != nil {
		return err
	}
	f, err := p.newFront(d, settings(func(s object) {
		classes := s["classes"].([]object)
		for _, c := range classes {
			c["byArrival"] = c["name"] == "write"
		}
		s["safety"].(object)["keyRestUs"] = 500000
	}), true)
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
	var writers sync.WaitGroup
	var ended atomic.Bool
	var served atomic.Int64
	for range clients {
		writers.Go(func() {
			c, err := net.Dial("tcp", f.listen)
			if err != nil {
				p.say("client: %v", err)
				return
			}
			defer c.Close()
			in := bufio.NewReader(c)
			for !ended.Load() {
				r := request{
					id: p.newID(), class: "write", volume: "00000003b4d60021", key: "7f3a9c21e0b4d655", plan: "business", write: true, units: 1, shard: 0, left: left,
				}
				c.SetDeadline(time.Now().Add(4 * time.Second))
				p.say("client: %s sent", r.id)
				if _, err := io.WriteString(c, r.text()); err != nil {
					p.say("client: %v", err)
					return
				}
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					p.say("client: %s: %v", r.id, err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				p.say("client: %s got %d", r.id, resp.StatusCode)
				if resp.StatusCode == 200 {
					served.Add(1)
				} else {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	if p.trouble {
		if _, err = f.start(); err != nil {
			return err
		}
		if err := awaitYes(f.control, "/healthcheck", 6*time.Second); err != nil {
			return err
		}
		p.say("the new process says yes")
		old.signal(syscall.SIGTERM)
		if !old.wait(3700 * time.Millisecond) { // the longest deadline, which counts as 3 s here, and 0.7 s
			old.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(3 * time.Second)
	ended.Store(true)
	writers.Wait()
	if served.Load() < 20 {
		return cannotRun("%d writes were served", served.Load())
	}
	jobs := n.taken()
	slices.SortFunc(jobs, func(a, b job) int { return a.at.Compare(b.at) })
	for i, j := range jobs {
		for _, earlier := range jobs[:i] {
			if earlier.done.IsZero() || earlier.done.Sub(j.at) > 20*time.Millisecond {
				p.breaks("%s of key %s came %v before the work of %s for the same key was done", j.id, j.key, earlier.done.Sub(j.at), earlier.id)
			}
		}
	}
	return nil
}
