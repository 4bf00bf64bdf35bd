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
	openRequests atomic.Int64             // requests whose head was received and that are not answered
	complete     atomic.Int64             // those of them that were received completely
	yielded      atomic.Bool              // another process accepts the new connections
	guard        *lifecycle.Guard         // the core's guard
	acceptErrors atomic.Int64

	next *RoundTripper // its core also counts the requests rejected here

	Admission *gate.Gate // decides which requests are admitted when the front is full; nil for none, set before Serve
}

// NewFront returns a front that gets its answers from the given RoundTripper.
func NewFront(settings protocol.Settings, l limits.Limits, next *RoundTripper) *Front {
	discardLog := log.New(io.Discard, "", 0) // clients leave all the time, and a line for each would flood the log
	guard := next.core.Guard
	f := &Front{limits: l, clients: newClientConns(l, guard, next.nodes.memory, next.core.Log), next: next, adopted: make(chan net.Conn), guard: guard}
	f.clients.refusal = f.refusal
	f.Reconfigure(settings)
	f.proxy = &httputil.ReverseProxy{
		Rewrite: func(p *httputil.ProxyRequest) {
			p.Out.URL.RawQuery = p.In.URL.RawQuery
			p.Out.Header = protocol.Forwarded(p.In.Header) // without Upgrade, and without Expect since the body has arrived
		},
		Transport:     next,
		ErrorHandler:  answerError,
		ErrorLog:      discardLog,
		BufferPool:    f.clients.buffers,
		FlushInterval: -1, // parts of a long answer are passed on at once
		ModifyResponse: func(r *http.Response) error { // headers that nodes send to the front are not passed to clients
			contentType := r.Header.Get("Content-Type")
			r.Header = http.Header{}
			if contentType != "" {
				r.Header.Set("Content-Type", contentType)
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
		ErrorLog:          discardLog,
		ConnContext:       withConn,
		ConnState:         f.clients.trackState,
	}
	return f
}

// Reconfigure sets the settings with which later requests are read.
func (f *Front) Reconfigure(newSettings protocol.Settings) { f.settings.Store(&newSettings) }

// ReconfigureIf replaces the settings if old is still in use.
func (f *Front) ReconfigureIf(old, newSettings protocol.Settings) {
	if current := f.settings.Load(); len(current.ClassNames) == len(old.ClassNames) && &current.ClassNames[0] == &old.ClassNames[0] {
		f.settings.Store(&newSettings)
	}
}

// ClassNames returns the names of the classes, indexed by class number, including removed classes.
func (f *Front) ClassNames() []string { return f.settings.Load().ClassNames }

// PlanNames returns the names of the plans, indexed by plan number, including removed plans.
func (f *Front) PlanNames() []string { return f.settings.Load().PlanNames }

// Serve accepts clients until Stop. For TLS, l is a HandshakeListener.
func (f *Front) Serve(l net.Listener) error {
	tracked := newListener(l, f.clients, f.adopted, f.limits.AcceptRetry, f.acceptFailed)
	f.listener.Store(tracked)
	err := f.server.Serve(tracked)
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

// Evictions returns how often a connection was asked to close for a reason.
func (f *Front) Evictions() map[Eviction]int64 {
	out := map[Eviction]int64{}
	for reason := range f.clients.evictions {
		out[Eviction(reason)] = f.clients.evictions[reason].Load()
	}
	return out
}

// RejectedHeads returns how many heads of requests were rejected before they were parsed.
func (f *Front) RejectedHeads() int64 { return f.clients.rejected.Load() }

// ServeHTTP reads a request completely, gets its answer and passes that on.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.openRequests.Add(1)
	defer f.openRequests.Add(-1)
	conn := connOf(r.Context())
	defer conn.releaseRequest()
	answer := &answerWriter{
		ResponseWriter: w, conn: conn, control: http.NewResponseController(w), guard: f.guard, writeTimeout: f.limits.Clients.WriteTimeout,
	}
	if r.URL.Path == "/ready" && r.Method == http.MethodGet {
		answerReady(answer, f.guard.Phase() != lifecycle.Serving)
		return
	}
	current := f.settings.Load()
	inbound, status, err := f.readRequest(answer, r, *current)
	defer func() { inbound.upload.close() }()
	if !conn.framing.isEndFound() {
		answer.Header().Set("Connection", "close")
	}
	uploadFailed := errors.Is(err, errUploadFailed)
	defer f.complete.Add(-1)
	full := f.complete.Add(1) > int64(f.limits.Requests.Open)
	if full {
		answer.closeAfterAnswer()
	}
	switch {
	case err != nil && !uploadFailed: // the connection of a client that sent an invalid request is not kept
		answer.closeAfterAnswer()
		http.Error(answer, err.Error(), status)
		return
	case uploadFailed, full:
		f.next.core.CountRejected(inbound.Class)
		answerError(answer, r, &routing.RejectedError{RetryAfter: current.MaxRetryAfter})
		return
	}
	if !f.clients.markAwaitingAnswer(conn) { // the connection was closed to free a slot before the request was complete
		return
	}
	inbound.TimeLeft -= toMicros(conn.takeReadDelay())
	answer.deadline = f.guard.Deadline(toDuration(inbound.TimeLeft)).Add(f.limits.Requests.AnswerGrace)
	f.answer(answer, r, inbound, current.Scheduler.Plans)
}

// answer sends a complete request to the nodes once it is admitted, and writes the final answer.
func (f *Front) answer(w http.ResponseWriter, r *http.Request, inbound inboundRequest, plans []scheduler.Plan) {
	release, err := f.admit(r, &inbound, plans)
	if err != nil {
		answerError(w, r, err)
		return
	}
	defer release()
	r = r.WithContext(withInbound(r.Context(), inbound))
	r.Body, r.ContentLength, r.TransferEncoding, r.Trailer = http.NoBody, 0, nil, nil
	f.proxy.ServeHTTP(w, r)
}

// admit makes a request wait for admission if the front is full, and subtracts the wait from the time that its client has
// left. The returned function ends the admission.
func (f *Front) admit(r *http.Request, inbound *inboundRequest, plans []scheduler.Plan) (release func(), err error) {
	if f.Admission == nil {
		return func() {}, nil
	}
	startedAt := time.Now()
	client, _, _ := net.SplitHostPort(r.RemoteAddr)
	// Half of the time left: a request admitted later could hardly be answered, and its client can still retry.
	maxWait := time.Until(f.guard.Deadline(toDuration(inbound.TimeLeft))) / 2
	weight := plans[inbound.Plan].Weight // readRequest has rejected plans that the settings don't contain
	release, err = f.Admission.Acquire(r.Context(), inbound.Volume, client, inbound.Units, weight, maxWait)
	if err != nil {
		return nil, err
	}
	inbound.TimeLeft -= toMicros(time.Since(startedAt))
	return release, nil
}

// answerReady answers a readiness check with whether this front accepts new clients.
func answerReady(w *answerWriter, stopping bool) {
	w.closeAfterAnswer() // a readiness check needs no kept connection
	if stopping {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// answerError writes the final answer to a request that was not served.
func answerError(w http.ResponseWriter, _ *http.Request, err error) {
	var rejected *routing.RejectedError
	switch {
	case errors.As(err, &rejected):
		protocol.SetRetryAfter(w.Header(), rejected.RetryAfter)
		http.Error(w, "refused", http.StatusServiceUnavailable)
	case errors.Is(err, routing.ErrDuplicate): // the connection of a client that sends duplicates is not kept
		if answer, ok := w.(*answerWriter); ok {
			answer.closeAfterAnswer()
		}
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}
