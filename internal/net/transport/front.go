package transport

import (
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"slices"
	"sync/atomic"
	"time"

	"otterturn/internal/limits"
	"otterturn/internal/net/protocol"
	"otterturn/internal/net/routing"
)

// Front serves the platform's clients.
type Front struct {
	settings protocol.Settings
	limits   limits.Limits
	proxy    *httputil.ReverseProxy
	server   *http.Server
	clients  clients
	open     atomic.Int64 // requests taken and not answered
	stopping atomic.Bool
}

// NewFront returns a front that answers clients with what the round tripper brings.
func NewFront(set protocol.Settings, l limits.Limits, next http.RoundTripper) *Front {
	quiet := log.New(io.Discard, "", 0) // a client that leaves is no news, and a line each would be a flood
	f := &Front{settings: set, limits: l, clients: clients{idle: map[net.Conn]time.Time{}}}
	f.proxy = &httputil.ReverseProxy{
		Rewrite: func(p *httputil.ProxyRequest) {
			p.Out.URL.RawQuery = p.In.URL.RawQuery
			p.Out.Header.Del("Expect") // the body is here already
		},
		Transport:    next,
		ErrorHandler: answerError,
		ErrorLog:     quiet,
		ModifyResponse: func(r *http.Response) error { // what a node tells the front is not for its clients
			kind := r.Header.Get("Content-Type")
			r.Header = http.Header{}
			if kind != "" {
				r.Header.Set("Content-Type", kind)
			}
			return nil
		},
	}
	f.server = &http.Server{Handler: f, ReadTimeout: l.ReadRequest, WriteTimeout: l.WriteAnswer,
		IdleTimeout: l.ClientIdle, MaxHeaderBytes: l.Header, ErrorLog: quiet, ConnContext: markSpare,
		ConnState: f.clients.track}
	return f
}

// Serve accepts clients until Stop.
func (f *Front) Serve(l net.Listener) error {
	return f.serve(newListener(l, f.limits.ClientConns, f.limits.SpareConns))
}

// ServeTLS accepts clients over TLS until Stop.
func (f *Front) ServeTLS(l net.Listener, config *tls.Config) error {
	config.NextProtos = slices.DeleteFunc(config.NextProtos, func(p string) bool { return p == "h2" })
	return f.serve(tls.NewListener(newListener(l, f.limits.ClientConns, f.limits.SpareConns), config))
}

func (f *Front) serve(l net.Listener) error {
	err := f.server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// ServeHTTP reads a request whole, has it answered and passes the answer on.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer f.open.Add(-1)
	open := f.open.Add(1)
	if f.stopping.Load() || isSpare(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/ready" && r.Method == http.MethodGet {
		if f.stopping.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	m, err := protocol.ParseRequest(r, f.settings)
	if errors.Is(err, protocol.ErrNoPath) {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	} else if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// net/http notices that a client leaves only once the body has been read.
	m.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, f.limits.Body))
	if tooLong := new(http.MaxBytesError); errors.As(err, &tooLong) {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	} else if err != nil {
		http.Error(w, "the body did not come whole", http.StatusBadRequest)
		return
	}
	if open > int64(f.limits.Open) || isSpare(r.Context()) {
		answerError(w, r, &routing.Refused{RetryAfter: f.settings.Retry})
		return
	}
	r = r.WithContext(withMessage(r.Context(), m))
	r.Body, r.ContentLength = http.NoBody, 0
	f.proxy.ServeHTTP(w, r)
}

// answerError writes the final answer to a request that was not served.
func answerError(w http.ResponseWriter, _ *http.Request, err error) {
	var refused *routing.Refused
	switch {
	case errors.As(err, &refused):
		protocol.SetRetryAfter(w.Header(), refused.RetryAfter)
		http.Error(w, "refused", http.StatusServiceUnavailable)
	case errors.Is(err, routing.ErrDuplicate):
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}

// Stop ends the front without losing a request. Clients learn late that it stops: it goes on accepting, and
// answers what it takes with 'Connection: close'. After a while it closes the connections that stand idle, or
// their clients would go on to use them until the process is killed, and ends once none is left.
func (f *Front) Stop() error {
	f.stopping.Store(true)
	began := time.Now()
	tick := time.NewTicker(f.limits.StopCheck)
	defer tick.Stop()
	for now := range tick.C {
		if now.Sub(began) < f.limits.StopAccept {
			continue
		}
		if f.clients.closeIdle(now.Add(-f.limits.StopCheck)) == 0 && f.open.Load() == 0 || now.Sub(began) > f.limits.StopAtMost {
			break
		}
	}
	return f.server.Close()
}
