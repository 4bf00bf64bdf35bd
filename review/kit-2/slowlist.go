package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["slow-list"] = slowList }

// slowDiscovery is the stand-in for a discovery that is asked: each call is answered a while after it has come, or after its wait.
type slowDiscovery struct {
	play  *play
	delay atomic.Int64
	mu    sync.Mutex
	seq   int
	list  []host
	news  chan struct{}
}

func (d *slowDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.play.say("discovery: %s comes", r.URL.RequestURI())
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	d.mu.Lock()
	news, wait := d.news, err == nil && from == d.seq && hold > 0
	d.mu.Unlock()
	if wait {
		select {
		case <-news:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(hold) * time.Millisecond):
		}
	}
	select {
	case <-time.After(time.Duration(d.delay.Load())):
	case <-r.Context().Done():
		d.play.say("discovery: %s was given up by the front", r.URL.RequestURI())
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil && from == d.seq {
		json.NewEncoder(w).Encode(object{"seq": d.seq, "whole": false, "hosts": []host{}})
		return
	}
	json.NewEncoder(w).Encode(object{"seq": d.seq, "whole": true, "hosts": d.list})
	d.play.say("discovery: %s answered with the whole list %d", r.URL.RequestURI(), d.seq)
}

func slowList(p *play) error {
	var nodes []*node
	var list []host
	for _, name := range []string{"s-a", "s-b"} {
		n, err := p.newNode(name, 0, 4, func(*job) time.Duration { return 20 * time.Millisecond })
		if err != nil {
			return err
		}
		n.quiet = true
		nodes, list = append(nodes, n), append(list, n.host)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d := &slowDiscovery{play: p, seq: 41, list: list, news: make(chan struct{})}
	go http.Serve(l, d)
	f, err := p.newFront(&discovery{addr: l.Addr().String(), seq: 41, list: list}, settings(func(s object) {
		s["registryMode"] = "on_request"
	}), false)
	if err != nil {
		return err
	}
	if _, err := f.start(); err != nil {
		return err
	}
	if err := awaitYes(f.listen, "/ready", 10*time.Second); err != nil {
		return err
	}
	var stop atomic.Bool
	var all sync.WaitGroup
	var served atomic.Int64
	p.readers(f.listen, 0, &stop, &all, &served)
	time.Sleep(3 * time.Second)
	if p.trouble {
		d.delay.Store(int64(2500 * time.Millisecond))
		p.say("discovery answers 2.5 s late from now on")
	}
	time.Sleep(6 * time.Second)
	d.mu.Lock()
	d.seq = 42
	d.list = append([]host(nil), list...)
	d.list[0].Health = "draining"
	close(d.news)
	d.news = make(chan struct{})
	drained := time.Now()
	d.mu.Unlock()
	p.say("discovery has it that s-a drains")
	time.Sleep(25 * time.Second)
	stop.Store(true)
	all.Wait()
	late := 0
	var last time.Duration
	for _, j := range nodes[0].taken() {
		if after := j.at.Sub(drained); after > 6550*time.Millisecond {
			late++
			last = after
		}
	}
	if late > 0 {
		p.breaks("%d requests were sent to s-a from 6.55 s to %v after discovery had it that it drains", late, last)
	}
	return nil
}
