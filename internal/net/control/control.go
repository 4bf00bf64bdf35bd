// Package control serves the operators' HTTP/1.1 address, with one call per connection. It has limits of its own, so that it
// answers whatever the front's load is and however many connections never send a complete call.
package control

import (
	"errors"
	"io"
	"log"
	"net"
	"net/http"

	"otterturn/internal/limits"
	"otterturn/internal/net/accept"
	"otterturn/internal/net/headfilter"
	"otterturn/internal/net/idleconns"
	"otterturn/internal/net/protocol"
)

// Front is the front that operators query and control.
type Front interface {
	Ready() bool                        // reports whether this process can serve requests
	Metrics() (protocol.Metrics, error) // must return within a bounded time
	Ban(node, by string) bool           // bans a node before it returns; false if the node is unknown
	EndBan(node, by string) bool        // ends the ban of a node; false if the node is unknown
}

// Server answers the operators' calls.
type Server struct {
	front  Front
	http   *http.Server
	limits limits.Limits
}

// callFields are the fields of a call that net/http uses.
var callFields = headfilter.NewFields("Host", "Connection", "Content-Length", "Transfer-Encoding", "Expect")

// New returns a server that controls a front.
func New(f Front, bounds limits.Limits) *Server {
	s := &Server{front: f, limits: bounds}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthcheck", s.health)
	mux.HandleFunc("GET /stats", s.stats)
	mux.HandleFunc("POST /chunk-servers/{id}/maint", s.ban)
	mux.HandleFunc("POST /chunk-servers/{id}/ready", s.unban)
	s.http = &http.Server{
		Handler: http.MaxBytesHandler(mux, bounds.Control.BodyBytes), ReadTimeout: bounds.Control.CallTimeout,
		WriteTimeout:   bounds.Control.CallTimeout,
		MaxHeaderBytes: bounds.Requests.HeaderBytes, ErrorLog: log.New(io.Discard, "", 0), ConnState: idleconns.New(bounds.Control.Conns).Track,
	}
	s.http.SetKeepAlivesEnabled(false)
	return s
}

// Serve accepts connections and answers calls until Close.
func (s *Server) Serve(l net.Listener) error {
	filtered := headfilter.Listener{
		Listener: accept.New(l, s.limits.AcceptRetry, nil), Used: callFields,
		Limits: headfilter.Limits{Bytes: s.limits.Requests.HeaderBytes, Fields: s.limits.Requests.HeaderFields},
	}
	if err := s.http.Serve(filtered); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close stops the server and closes its connections.
func (s *Server) Close() error { return s.http.Close() }

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if !s.front.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	f, err := s.front.Metrics()
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, protocol.FormatMetrics(f))
}

func (s *Server) ban(w http.ResponseWriter, r *http.Request) {
	s.answer(w, s.front.Ban(r.PathValue("id"), r.RemoteAddr))
}

func (s *Server) unban(w http.ResponseWriter, r *http.Request) {
	s.answer(w, s.front.EndBan(r.PathValue("id"), r.RemoteAddr))
}

func (s *Server) answer(w http.ResponseWriter, known bool) {
	if !known {
		http.Error(w, "no such chunk server", http.StatusNotFound)
	}
}
