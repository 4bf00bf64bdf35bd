package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// openFor is how long the chunk server works on the request of the usual client, which is open meanwhile.
const openFor = 1200 * time.Millisecond

// playUpgradeID upgrades a front while a bad client sends the head of its request slowly: its id turns out to be that of another client's open
// request. Without the disruption the front is not upgraded.
func playUpgradeID(r *run) error {
	began := make(chan request, 16)
	s, err := r.newServer("s-0000000a", 0, func(q request) (int, string, bool) {
		r.logf("chunk server: begins %v", q)
		began <- q
		time.Sleep(openFor)
		r.logf("chunk server: answers id %s", q.id)
		return 200, "ran " + q.path, true
	})
	if err != nil {
		return err
	}
	d, err := newDiscovery([]host{s.host})
	if err != nil {
		return err
	}
	place, err := r.newSite(d, settings(1, 4), 192, true)
	if err != nil {
		return err
	}
	old, err := place.startReady("old")
	if err != nil {
		return err
	}
	const id, object, otherObject = "9b1f03aa5c7e2d41", "7f3a9c21e0b4d655", "7f3a9c21e0b4d656"
	usualText, _ := message("write", "00000003b4d60021", object, id, "key-1", 0, 2*time.Second, []byte("usual"))
	badText, _ := message("write", "00000003b4d60022", otherObject, id, "key-2", 0, 2*time.Second, []byte("other"))
	cut := strings.Index(badText, "X-Correlation-Id")

	bad, err := dial(place.listen)
	if err != nil {
		return err
	}
	defer bad.Close()
	if _, err := io.WriteString(bad, badText[:cut]); err != nil {
		return err
	}
	r.logf("bad client: sent the first %d bytes of its head", cut)
	time.Sleep(100 * time.Millisecond)
	if r.trouble {
		successor, err := place.startReady("new")
		if err != nil {
			return err
		}
		old.signal(syscall.SIGTERM)
		r.logf("platform: SIGTERM to old, as %s has said yes", successor.name)
	}
	usual, err := dial(place.listen)
	if err != nil {
		return err
	}
	defer usual.Close()
	var answers sync.WaitGroup
	answers.Go(func() {
		r.logf("usual client: sends a write with id %s", id)
		a := usual.do(usualText, 4*time.Second)
		r.logf("usual client: status %d, %q, error: %v", a.status, a.body, a.err)
	})
	select {
	case <-began:
	case <-time.After(2 * time.Second):
		return fmt.Errorf("the usual client's request did not reach the chunk server")
	}
	r.logf("bad client: sends the rest, with id %s of the open request", id)
	a := bad.do(badText[cut:], 4*time.Second)
	r.logf("bad client: status %d, %q, error: %v", a.status, strings.TrimSpace(a.body), a.err)
	answers.Wait()
	if a.status == http.StatusOK {
		r.breaks("a client that sent the id of another client's open request was served: %q", a.body)
	}
	if len(s.received) > 1 {
		r.breaks("two attempts with one id were out at the same time: %v; %v", s.received[0], s.received[1])
	}
	return r.result()
}
