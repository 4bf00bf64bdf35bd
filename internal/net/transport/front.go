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
	adopted      chan net.Conn            // by another process of the front
	listener     atomic.Pointer[listener] // nil before Serve
	open         atomic.Int64             // requests taken and not answered
	yielded      atomic.Bool              // another process serves new connections
	guard        *lifecycle.Guard         // the core's
	acceptErrors atomic.Int64

	next *RoundTripper // its core counts what finds no room here, too

	Admission *gate.Gate // decides who is admitted when the front is full; nil for none, set before Serve
}

// NewFront returns a front that answers clients with what the round tripper brings.
func NewFront(set protocol.Settings, l limits.Limits, next *RoundTripper) *Front {
	quiet := log.New(io.Discard, "", 0) // a client that leaves is no news, and a line each would be a flood
	guard := next.core.Guard
	f := &Front{limits: l, clients: newClientConns(l, guard), next: next, adopted: make(chan net.Conn), guard: guard}
	f.Reconfigure(set)
	f.proxy = &httputil.ReverseProxy{
		Rewrite: func(p *httputil.ProxyRequest) {
			p.Out.URL.RawQuery = p.In.URL.RawQuery
			p.Out.Header = protocol.Forwarded(p.In.Header) // no Upgrade above all, nor Expect: the body is here
		},
		Transport:     next,
		ErrorHandler:  answerError,
		ErrorLog:      quiet,
		BufferPool:    &buffers,
		FlushInterval: -1, // nothing of a long answer is held back
		ModifyResponse: func(r *http.Response) error { // what a node tells the front is not for its clients
			kind := r.Header.Get("Content-Type")
			r.Header = http.Header{}
			if kind != "" {
				r.Header.Set("Content-Type", kind)
			}
			if r.ContentLength >= 0 { // one that is cut off can be told
				r.Header.Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
			}
			return nil
		},
	}
	// A read deadline that ran on would end net/http's wait for the client's leaving, and count as that. So the
	// head alone has one here, and the body sets and clears its own.
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

// Reconfigure has the requests that come from now on read by other settings.
func (f *Front) Reconfigure(set protocol.Settings) { f.settings.Store(&set) }

// ReconfigureIf has other settings hold, if those named hold yet.
func (f *Front) ReconfigureIf(old, set protocol.Settings) {
	if now := f.settings.Load(); len(now.Names) == len(old.Names) && &now.Names[0] == &old.Names[0] {
		f.settings.Store(&set)
	}
}

// ClassNames are the classes by number, with those that are no more.
func (f *Front) ClassNames() []string { return f.settings.Load().Names }

// PlanNames are the plans by number, with those that are no more.
func (f *Front) PlanNames() []string { return f.settings.Load().PlanNames }

// Serve accepts clients until Stop. Over TLS the listener is one of Handshakes.
func (f *Front) Serve(l net.Listener) error {
	own := newListener(l, f.clients, f.adopted, f.limits.AcceptRetry, f.acceptFailed)
	f.listener.Store(own)
	err := f.server.Serve(own)
	if f.guard.Phase() != lifecycle.Serving || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// acceptFailed counts a connection that could not be accepted; accepting is tried again.
func (f *Front) acceptFailed(err error) {
	f.acceptErrors.Add(1)
	f.next.core.Log.Warn("accept failed, trying again", "error", err)
}

// AcceptErrors tells how often accepting failed.
func (f *Front) AcceptErrors() int64 { return f.acceptErrors.Load() }

// ServeHTTP reads a request whole, has it answered and passes the answer on.
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
	case err != nil && !uploadFailed: // who sends what can't be used gets no further use of the connection
		answer.Header().Set("Connection", "close")
		http.Error(answer, err.Error(), status)
		return
	case uploadFailed, full:
		f.next.core.CountRejected(m.Class)
		answerError(answer, r, &routing.RejectedError{RetryAfter: set.Retry})
		return
	}
	conn := connOf(r.Context())
	if !f.clients.markBusy(conn) { // it ended for want of room before it was whole
		return
	}
	m.TimeLeft -= toMicros(conn.takeAcceptDelay())
	answer.dueBy = f.guard.Deadline(micros(m.TimeLeft)).Add(f.limits.Requests.AnswerGrace)
	f.answer(answer, r, m, set.Scheduler.Plans)
}

// answer has a request answered that came whole.
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

// admit has a request wait for its turn where the front is full, and takes that off the time that its client has left. The
// returned function gives the turn back.
func (f *Front) admit(r *http.Request, m *inboundRequest, plans []scheduler.Plan) (leave func(), err error) {
	if f.Admission == nil {
		return func() {}, nil
	}
	came := time.Now()
	client, _, _ := net.SplitHostPort(r.RemoteAddr)
	// Half of its time: what is taken later could hardly be answered, and its client can still come again.
	longest := time.Until(f.guard.Deadline(micros(m.TimeLeft))) / 2
	weight := plans[m.Plan].Weight // a plan that the settings don't name was rejected in readRequest
	leave, err = f.Admission.Enter(r.Context(), m.Volume, client, m.Units, weight, longest)
	if err != nil {
		return nil, err
	}
	m.TimeLeft -= toMicros(time.Since(came))
	return leave, nil
}

// answerReady tells whether this front takes new clients.
func answerReady(w http.ResponseWriter, stopping bool) {
	w.Header().Set("Connection", "close") // who asks this alone has no use for the slot
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
	case errors.Is(err, routing.ErrDuplicate): // who sends copies gets no further use of the connection
		w.Header().Set("Connection", "close")
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}
