// Package sockets runs the laboratory's node models and real fronts of the program on loopback sockets in real time.
package sockets

import (
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"

	"otterturn/internal/lab/model"
	"otterturn/internal/lab/world"
	"otterturn/internal/net/protocol"
	"otterturn/scheduler"
)

// node is an emulated node that serves the platform's protocol.
type node struct {
	world   *world.World
	node    *world.Node
	set     protocol.Settings
	cost    func(protocol.Request) model.Job // work of a request that the world did not submit, nil if there are none
	addr    string
	mu      sync.Mutex
	server  *http.Server // nil while the node is dead
	pending sync.WaitGroup
}

// discardLog discards the log of the emulated servers: failing clients are part of the experiment.
var discardLog = log.New(io.Discard, "", 0)

// listen starts to serve an address, which stays the same when the node restarts.
func (n *node) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("%s: %w", n.node.Name, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addr = l.Addr().String()
	n.server = &http.Server{Handler: n, ErrorLog: discardLog, ConnState: n.trackConnection}
	server := n.server
	n.pending.Go(func() { server.Serve(l) })
	return nil
}

// stop closes the listener and all connections at once, as the end of a process does.
func (n *node) stop() {
	n.mu.Lock()
	server := n.server
	n.server = nil
	n.mu.Unlock()
	if server != nil {
		server.Close()
		n.pending.Wait()
	}
}

// trackConnection lets the model count connections, and closes those that exceed its capacity.
func (n *node) trackConnection(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		n.world.Do(func() {
			if !n.node.Connect(int64(n.world.Now)) {
				c.Close()
			}
		})
	case http.StateClosed, http.StateHijacked:
		n.world.Do(n.node.Disconnect)
	}
}

// results maps the reply of a node to the result of the attempt.
var results = map[world.Reply]scheduler.Result{
	world.Answer: scheduler.OK, world.QueueFull: scheduler.QueueFull, world.Unreachable: scheduler.Unreachable,
	world.ConnectionBroken: scheduler.Reset, world.Malformed: scheduler.Reset,
}

// ServeHTTP answers health checks and attempts.
func (n *node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		answered := make(chan bool, 1)
		n.world.Do(func() { answered <- n.world.Probe(n.node).OK })
		select {
		case ok := <-answered:
			if ok {
				return
			}
			<-r.Context().Done()
		case <-r.Context().Done():
		}
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	request, parseErr := protocol.ParseRequest(r, n.set)
	if err = errors.Join(err, parseErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply := make(chan world.Reply, 1)
	n.world.Do(func() {
		job, known := n.world.AttemptReached(request.ID, n.node)
		if !known && n.cost != nil {
			job, known = n.cost(request), true
		}
		if known {
			n.world.Arrive(n.node, job, func(r world.Reply) {
				n.world.AttemptLeft(request.ID, n.node, results[r])
				reply <- r
			})
		}
	})
	select {
	case <-r.Context().Done():
		n.world.Do(func() { n.world.AttemptLeft(request.ID, n.node, scheduler.TimedOut) })
	case got := <-reply:
		switch got {
		case world.Answer:
			w.Write(body)
		case world.QueueFull:
			w.Header().Set("X-Unprocessed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case world.Malformed: // the connection ends before the answer is complete
			w.Header().Set("Content-Length", "100")
			w.Write([]byte("garbled"))
			panic(http.ErrAbortHandler)
		default:
			panic(http.ErrAbortHandler)
		}
	}
}
