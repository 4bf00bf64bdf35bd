package transport

import (
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync/atomic"
	"time"

	"otterturn/internal/admission/gate"
	"otterturn/internal/lifecycle"
	"otterturn/internal/limits"
	"otterturn/internal/net/protocol"
	"otterturn/internal/net/routing"
	"otterturn/scheduler"
)

// Front serves the platform's clients.
type Front struct {
	settings     atomic.Pointer[protocol.Settings]
	limits       limits.Limits
	proxy        *httputil.ReverseProxy
	server       *http.Server
	clients      *clientConns
	adopted      chan net.Conn            // connections handed over by another process of the front
	listener     atomic.Pointer[listener] // nil before Serve
	open         atomic.Int64             // requests received and not answered
	yielded      atomic.Bool              // another process accepts the new connections
	guard        *lifecycle.Guard         // the core's guard
	acceptErrors atomic.Int64

	next *RoundTripper // its core also counts the requests rejected here

	Admission *gate.Gate // decides which requests are admitted when the front is full; nil for none, set before Serve
}

// NewFront returns a front that gets its answers from the given RoundTripper.
func NewFront(set protocol.Settings, l limits.Limits, next *RoundTripper) *Front {
	quiet := log.New(io.Discard, "", 0) // clients leave all the time, and a line for each would flood the log
	guard := next.core.Guard
	f := &Front{limits: l, clients: newClientConns(l, guard), next: next, adopted: make(chan net.Conn), guard: guard}
	f.Reconfigure(set)
	f.proxy = &httputil.ReverseProxy{
		Rewrite: func(p *httputil.ProxyRequest) {
			p.Out.URL.RawQuery = p.In.URL.RawQuery
			p.Out.Header = protocol.Forwarded(p.In.Header) // without Upgrade, and without Expect since the body has arrived
		},
		Transport:     next,
		ErrorHandler:  answerError,
		ErrorLog:      quiet,
		BufferPool:    &buffers,
		FlushInterval: -1, // parts of a long answer are passed on at once
		ModifyResponse: func(r *http.Response) error { // headers that nodes send to the front are not passed to clients
			kind := r.Header.Get("Content-Type")
			r.Header = http.Header{}
			if kind != "" {
				r.Header.Set("Content-Type", kind)
			}
			if r.ContentLength >= 0 { // lets the client detect an answer that is cut off
				r.Header.Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
			}
			return nil
		},
	}
	// A read deadline that expires during net/http's wait for the client to leave would end that wait and count as the
	// client leaving. So only the head has a deadline here; the reader of the body sets and clears its own.
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: l.Clients.HeaderTimeout,
		IdleTimeout:       l.Clients.IdleTimeout,
		MaxHeaderBytes:    l.Requests.HeaderBytes,
		ErrorLog:          quiet,
		ConnContext:       withConn,
		ConnState:         f.clients.trackState,
	}
	return f
}

// Reconfigure sets the settings with which later requests are read.
func (f *Front) Reconfigure(set protocol.Settings) { f.settings.Store(&set) }

// ReconfigureIf replaces the settings if old is still in use.
func (f *Front) ReconfigureIf(old, set protocol.Settings) {
	if now := f.settings.Load(); len(now.Names) == len(old.Names) && &now.Names[0] == &old.Names[0] {
		f.settings.Store(&set)
	}
}

// ClassNames returns the class names by number, including removed classes.
func (f *Front) ClassNames() []string { return f.settings.Load().Names }

// PlanNames returns the plan names by number, including removed plans.
func (f *Front) PlanNames() []string { return f.settings.Load().PlanNames }

// Serve accepts clients until Stop. For TLS, l is a Handshakes listener.
func (f *Front) Serve(l net.Listener) error {
	own := newListener(l, f.clients, f.adopted, f.limits.AcceptRetry, f.acceptFailed)
	f.listener.Store(own)
	err := f.server.Serve(own)
	if f.guard.Phase() != lifecycle.Serving || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// acceptFailed counts and logs a failure to accept a connection, after which accepting is tried again.
func (f *Front) acceptFailed(err error) {
	f.acceptErrors.Add(1)
	f.next.core.Log.Warn("accept failed, trying again", "error", err)
}

// AcceptErrors returns how often accepting a connection failed.
func (f *Front) AcceptErrors() int64 { return f.acceptErrors.Load() }

// ServeHTTP reads a request completely, gets its answer and passes that on.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer f.open.Add(-1)
	open := f.open.Add(1)
	full := open > int64(f.limits.Requests.Open)
	answer := &answerWriter{
		ResponseWriter: w, control: http.NewResponseController(w), guard: f.guard, writeTimeout: f.limits.Clients.WriteTimeout,
	}
	if full {
		answer.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/ready" && r.Method == http.MethodGet {
		answerReady(answer, f.guard.Phase() != lifecycle.Serving)
		return
	}
	set := f.settings.Load()
	m, status, err := f.readRequest(answer, r, *set)
	defer func() { m.upload.close() }()
	uploadFailed := errors.Is(err, errUploadFailed)
	switch {
	case err != nil && !uploadFailed: // the connection of a client that sent an invalid request is not kept
		answer.Header().Set("Connection", "close")
		http.Error(answer, err.Error(), status)
		return
	case uploadFailed, full:
		f.next.core.CountRejected(m.Class)
		answerError(answer, r, &routing.RejectedError{RetryAfter: set.Retry})
		return
	}
	conn := connOf(r.Context())
	if !f.clients.markBusy(conn) { // the connection was closed to free a slot before the request was complete
		return
	}
	m.TimeLeft -= toMicros(conn.takeAcceptDelay())
	answer.dueBy = f.guard.Deadline(micros(m.TimeLeft)).Add(f.limits.Requests.AnswerGrace)
	f.answer(answer, r, m, set.Scheduler.Plans)
}

// answer gets a complete request answered.
func (f *Front) answer(w http.ResponseWriter, r *http.Request, m inboundRequest, plans []scheduler.Plan) {
	leave, err := f.admit(r, &m, plans)
	if err != nil {
		answerError(w, r, err)
		return
	}
	defer leave()
	r = r.WithContext(withInbound(r.Context(), m))
	r.Body, r.ContentLength, r.TransferEncoding, r.Trailer = http.NoBody, 0, nil, nil
	f.proxy.ServeHTTP(w, r)
}

// admit makes a request wait for admission if the front is full, and subtracts the wait from the time that its client has
// left. The returned function ends the admission.
func (f *Front) admit(r *http.Request, m *inboundRequest, plans []scheduler.Plan) (leave func(), err error) {
	if f.Admission == nil {
		return func() {}, nil
	}
	came := time.Now()
	client, _, _ := net.SplitHostPort(r.RemoteAddr)
	// Half of the time left: a request admitted later could hardly be answered, and its client can still retry.
	longest := time.Until(f.guard.Deadline(micros(m.TimeLeft))) / 2
	weight := plans[m.Plan].Weight // readRequest has rejected plans that the settings don't contain
	leave, err = f.Admission.Enter(r.Context(), m.Volume, client, m.Units, weight, longest)
	if err != nil {
		return nil, err
	}
	m.TimeLeft -= toMicros(time.Since(came))
	return leave, nil
}

// answerReady answers a readiness check with whether this front accepts new clients.
func answerReady(w http.ResponseWriter, stopping bool) {
	w.Header().Set("Connection", "close") // a readiness check needs no kept connection
	if stopping {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// answerError writes the final answer to a request that was not served.
func answerError(w http.ResponseWriter, _ *http.Request, err error) {
	var refused *routing.RejectedError
	switch {
	case errors.As(err, &refused):
		protocol.SetRetryAfter(w.Header(), refused.RetryAfter)
		http.Error(w, "refused", http.StatusServiceUnavailable)
	case errors.Is(err, routing.ErrDuplicate): // the connection of a client that sends duplicates is not kept
		w.Header().Set("Connection", "close")
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}
