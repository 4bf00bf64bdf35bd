package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["pipeline"] = pipeline }

// pipeline: a client sends many commands at once on one connection (without the disruption: the next one once the last is
// answered). Each of them has its own time, counted from when it was sent.
func pipeline(p *play) error {
	const commands, left = 24, 1500 * time.Millisecond
	n, err := p.newNode("s-1", 0, 1, func(*job) time.Duration { return 150 * time.Millisecond })
	if err != nil {
		return err
	}
	d, err := newDiscovery([]host{n.host})
	if err != nil {
		return err
	}
	f, err := p.newFront(d, settings(nil), false)
	if err != nil {
		return err
	}
	if _, err := f.start(); err != nil {
		return err
	}
	if err := awaitYes(f.listen, "/ready", 10*time.Second); err != nil {
		return err
	}
	c, err := net.Dial("tcp", f.listen)
	if err != nil {
		return cannotRun("%v", err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(60 * time.Second))
	in := bufio.NewReader(c)
	var sent []request
	sentAt := map[string]time.Time{}
	send := func(rs ...request) {
		text := ""
		for _, r := range rs {
			text += r.text()
		}
		now := time.Now()
		for _, r := range rs {
			sentAt[r.id] = now
			p.say("client: %s sent, with %v left", r.id, r.left)
		}
		c.Write([]byte(text))
	}
	served := 0
	receive := func(r request) error {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			p.breaks("%s was read and its connection ended with no answer: %v", r.id, err)
			return err
		}
		body, err := io.ReadAll(resp.Body)
		after := time.Since(sentAt[r.id])
		p.say("client: %s got %d after %v: %q", r.id, resp.StatusCode, after, body)
		if resp.StatusCode == 200 {
			served++
		}
		if late := after - r.left; late > 550*time.Millisecond {
			p.breaks("%s got its final answer %v after its time, at most 0.5 s (and 50 ms) are allowed", r.id, late)
		}
		return err
	}
	for range commands {
		sent = append(sent, request{
			id: p.newID(), class: "read", volume: "00000003b4d60021", key: "7f3a9c21e0b4d655", plan: "business", units: 1, shard: 0, left: left,
		})
	}
	if p.trouble {
		send(sent...)
	}
	for _, r := range sent {
		if !p.trouble {
			send(r)
		}
		if receive(r) != nil {
			break
		}
	}
	if served == 0 {
		return cannotRun("nothing was served")
	}
	for _, j := range n.taken() {
		if over := j.told - (left - j.at.Sub(sentAt[j.id])); over > 200*time.Millisecond {
			p.breaks("%s told its chunk server %v, %v more than its client had left", j.id, j.told, over)
		}
	}
	return nil
}
