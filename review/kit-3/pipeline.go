package main

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"time"
)

// Figures of the case: 'hundreds of requests at once', sent on one connection at full speed. Bodies hold 64 KiB at most.
const (
	pipelined     = 200
	pipelinedBody = 8 << 10
	nodeWork      = 3 * time.Millisecond
)

// playPipeline sends hundreds of writes at once on one connection. Without the disruption the client sends the same writes one at a time.
func playPipeline(r *run) error {
	s, err := r.newServer("s-0000000a", 0, func(q request) (int, string, bool) {
		time.Sleep(nodeWork)
		return 200, "ran " + q.id, true
	})
	if err != nil {
		return err
	}
	d, err := newDiscovery([]host{s.host})
	if err != nil {
		return err
	}
	place, err := r.newSite(d, settings(1, 4), 192, false)
	if err != nil {
		return err
	}
	if _, err := place.startReady("front"); err != nil {
		return err
	}
	sent := map[string]request{}
	var texts []string
	for i := range pipelined {
		id := fmt.Sprintf("%016x", 0xa000+i)
		body := bytes.Repeat([]byte(id), pipelinedBody/len(id)) // tells whose it is
		text, q := message("write", "00000003b4d60021", fmt.Sprintf("%016x", 0x7f00+i), id, "key-"+id, 0, 2*time.Second, body)
		sent[id] = q
		texts = append(texts, text)
	}
	c, err := dial(place.listen)
	if err != nil {
		return err
	}
	defer c.Close()
	r.logf("client: sends %d writes of %d bytes each, at once: %t", pipelined, pipelinedBody, r.trouble)
	if r.trouble {
		go func() {
			n, err := io.WriteString(c, strings.Join(texts, ""))
			r.logf("client: %d bytes sent, error: %v", n, err)
		}()
	}
	for i := range pipelined {
		var a answer
		if r.trouble {
			a = c.read(5 * time.Second)
		} else {
			a = c.do(texts[i], 5*time.Second)
		}
		r.logf("client: answer %d: status %d, %q, error: %v", i, a.status, a.body, a.err)
		if a.err != nil {
			break
		}
	}
	time.Sleep(500 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]int{}
	for _, q := range s.received {
		r.logf("chunk server: received %v", q)
		if want, known := sent[q.id]; !known {
			r.breaks("a chunk server got a request with an id that no client sent: %v", q)
		} else if q != want {
			r.breaks("a chunk server got a request in a form that no client sent: %v; sent was %v", q, want)
		}
		seen[q.id]++
	}
	return r.result()
}
