// Package control is the address for operators: HTTP/1.1 with one call a connection. It has bounds of its own, so
// that it answers whatever the front's load, and whoever else keeps a connection without a whole call.
package control

import (
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"otterturn/internal/limits"
	"otterturn/internal/net/accept"
	"otterturn/internal/net/protocol"
)

// Front is what operators ask and tell.
type Front interface {
	Ready() bool                        // this process can serve
	Figures() (protocol.Figures, error) // within a bounded time
	Ban(node, by string) bool           // leaves a node out, false for one that nobody has; it holds at return
	Lift(node, by string) bool          // and lets it serve again
}

// Server answers operators.
type Server struct {
	front       Front
	http        *http.Server
	calls       *calls
	acceptRetry time.Duration
}

// New returns a server for a front.
func New(f Front, l limits.Limits) *Server {
	s := &Server{front: f, acceptRetry: l.AcceptRetry, calls: &calls{most: l.Control.Conns, open: map[net.Conn]int{}}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthcheck", s.health)
	mux.HandleFunc("GET /stats", s.stats)
	mux.HandleFunc("POST /chunk-servers/{id}/maint", s.ban)
	mux.HandleFunc("POST /chunk-servers/{id}/ready", s.lift)
	s.http = &http.Server{
		Handler: http.MaxBytesHandler(mux, l.Control.BodyBytes), ReadTimeout: l.Control.CallTimeout, WriteTimeout: l.Control.CallTimeout,
		MaxHeaderBytes: l.Requests.HeaderBytes, ErrorLog: log.New(io.Discard, "", 0), ConnState: s.calls.track,
	}
	s.http.SetKeepAlivesEnabled(false)
	return s
}

// Serve answers until Close.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(accept.New(l, s.acceptRetry, nil)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close ends the server and its connections.
func (s *Server) Close() error { return s.http.Close() }

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if !s.front.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	f, err := s.front.Figures()
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, protocol.FormatFigures(f))
}

func (s *Server) ban(w http.ResponseWriter, r *http.Request) {
	s.answer(w, s.front.Ban(r.PathValue("id"), r.RemoteAddr))
}

func (s *Server) lift(w http.ResponseWriter, r *http.Request) {
	s.answer(w, s.front.Lift(r.PathValue("id"), r.RemoteAddr))
}

func (s *Server) answer(w http.ResponseWriter, known bool) {
	if !known {
		http.Error(w, "no such chunk server", http.StatusNotFound)
	}
}

// calls are the connections that are open. Past a number of them the one that has been longest without a whole call
// gives way: callers that say nothing must not keep out those that do, nor use up the descriptors.
type calls struct {
	mu   sync.Mutex
	most int
	came int
	open map[net.Conn]int // in the order in which they came; those with a whole call are not among them
}

func (c *calls) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state != http.StateNew {
		delete(c.open, conn)
		return
	}
	for len(c.open) >= c.most {
		var oldest net.Conn
		for other, n := range c.open {
			if oldest == nil || n < c.open[oldest] {
				oldest = other
			}
		}
		delete(c.open, oldest)
		oldest.Close()
	}
	c.came++
	c.open[conn] = c.came
}
