package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["slowanswer"] = slowAnswer }

// slowAnswer: a chunk server gives a long answer of a length that it does not tell ahead, in pieces, at 64 kB a second (without the
// disruption: at once).
func slowAnswer(p *play) error {
	const pieces, pieceBytes, left = 32, 20000, 2400 * time.Millisecond
	body := bytes.Repeat([]byte("0123456789abcdef"), pieces*pieceBytes/16)
	n, err := p.newNode("s-1", 0, 4, func(*job) time.Duration { return 50 * time.Millisecond })
	if err != nil {
		return err
	}
	n.answer = func(w http.ResponseWriter, r *http.Request, j *job) {
		for i := range pieces {
			if p.trouble && i > 0 {
				time.Sleep(pieceBytes * time.Second / 64000)
			}
			if _, err := w.Write(body[i*pieceBytes : (i+1)*pieceBytes]); err != nil || r.Context().Err() != nil {
				p.say("s-1: answer to %s: the front ended the connection before piece %d of %d: %v %v", j.id, i+1, pieces, err, r.Context().Err())
				return
			}
			w.(http.Flusher).Flush()
		}
		p.say("s-1: answer to %s was given whole", j.id)
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
	r := request{id: p.newID(), class: "read", volume: "00000003b4d60021", key: "7f3a9c21e0b4d655", plan: "business", units: 1, shard: 0, left: left}
	p.say("client: %s sent, with %v left", r.id, r.left)
	io.WriteString(c, r.text())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		p.breaks("%s: %v", r.id, err)
		return nil
	}
	p.say("client: %s: the answer's head came: %s", r.id, resp.Status)
	text, err := io.ReadAll(resp.Body)
	p.say("client: %s got %d, %d bytes, %v", r.id, resp.StatusCode, len(text), err)
	if resp.StatusCode != 200 || err != nil || sha256.Sum256(text) != sha256.Sum256(body) {
		p.breaks("%s got %d with %d bytes (%v) while its chunk server was giving it an answer of %d bytes, piece by piece", r.id, resp.StatusCode, len(text), err, len(body))
	}
	return nil
}
