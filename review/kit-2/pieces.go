package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["pieces"] = pieces }

// pieces: a client sends three commands at once on a connection. The first piece of what it sends ends within the name of a field
// (without the disruption: all goes in one piece). Each of the three has to get its answer, and to reach its chunk server as it was sent.
func pieces(p *play) error {
	n, err := p.newNode("s-1", 0, 4, func(*job) time.Duration { return 20 * time.Millisecond })
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
	sent := map[string]request{}
	for round, cut := range []string{"X-Serv", "X-Correlation-I", "X-Pla", "Hos", "X-Time-L", "X-IO"} {
		var commands []request
		for range 3 {
			r := request{id: p.newID(), class: "read", volume: "00000003b4d60021", key: "7f3a9c21e0b4d655", plan: "business", units: 1, left: 2 * time.Second}
			commands = append(commands, r)
			sent[r.id] = r
		}
		if err := p.sendInPieces(f.listen, fmt.Sprintf("round %d", round+1), commands, cut); err != nil {
			return err
		}
	}
	// Writes whose data, a log of requests, ends like the beginning of a request.
	var commands []request
	for i := range 3 {
		r := request{id: p.newID(), class: "write", volume: "00000003b4d60021", key: fmt.Sprintf("7f3a9c21e0b4d65%d", i), plan: "business", write: true, units: 1, left: 1900 * time.Millisecond}
		r.body = "12:00:03 PUT /write/ffff0\n12:00:04 PUT /write/ffff0"
		commands = append(commands, r)
		sent[r.id] = r
	}
	if err := p.sendInPieces(f.listen, "writes", commands, "X-Correlation-Id"); err != nil {
		return err
	}
	for _, j := range n.taken() {
		r, known := sent[j.id]
		if !known || j.class != r.class || j.volume != r.volume || j.key != r.key {
			p.breaks("the chunk server got /%s/%s/%s under the id %s, which its client sent as /%s/%s/%s", j.class, j.volume, j.key, j.id, r.class, r.volume, r.key)
		}
	}
	if len(n.taken()) < 7 {
		return cannotRun("%d requests reached the chunk server", len(n.taken()))
	}
	return nil
}

// sendInPieces sends commands at once, in two pieces of which the first ends behind cut, and reads their answers.
func (p *play) sendInPieces(addr, name string, commands []request, cut string) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return cannotRun("%v", err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(8 * time.Second))
	text := ""
	for _, r := range commands {
		text += r.text()
	}
	at := strings.Index(text, cut) + len(cut)
	if p.trouble {
		p.say("client: %s: %d commands, %d bytes; the first piece ends behind %q", name, len(commands), len(text), text[:at])
		io.WriteString(c, text[:at])
		time.Sleep(50 * time.Millisecond)
		io.WriteString(c, text[at:])
	} else {
		p.say("client: %s: %d commands, %d bytes in one piece", name, len(commands), len(text))
		io.WriteString(c, text)
	}
	in := bufio.NewReader(c)
	for _, r := range commands {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			p.breaks("%s: %s was taken, and the front ended its connection with no answer: %v", name, r.id, err)
			continue
		}
		body, err := io.ReadAll(resp.Body)
		p.say("client: %s: %s got %d: %.60q %v", name, r.id, resp.StatusCode, body, err)
		if resp.StatusCode == 200 && !strings.Contains(string(body), r.id) {
			p.breaks("%s: %s got the answer %.60q", name, r.id, body)
		}
	}
	return nil
}
