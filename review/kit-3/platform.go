package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// host is an entry of discovery's list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// discovery is an agent on the front's own machine, whose list does not change.
type discovery struct {
	addr  string
	hosts []host
}

func newDiscovery(hosts []host) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{addr: l.Addr().String(), hosts: hosts}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.answer)
	go http.Serve(l, mux)
	return d, nil
}

func (d *discovery) list() object { return object{"seq": 1, "whole": true, "hosts": d.hosts} }

func (d *discovery) answer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if from, err := strconv.Atoi(r.URL.Query().Get("from")); err != nil || from != 1 {
		json.NewEncoder(w).Encode(d.list())
		return
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	select {
	case <-time.After(time.Duration(hold) * time.Millisecond):
		json.NewEncoder(w).Encode(object{"seq": 1, "whole": false, "hosts": []host{}})
	case <-r.Context().Done():
	}
}

// request is what identifies a request at a chunk server: it must pass on unchanged.
type request struct {
	id, method, path, key string
	bodyLength            int
	bodySum               string
}

func sum(body []byte) string {
	s := sha256.Sum256(body)
	return hex.EncodeToString(s[:8])
}

func (q request) String() string {
	return fmt.Sprintf("id %s, %s %s, key %q, body of %d bytes with sum %s", q.id, q.method, q.path, q.key, q.bodyLength, q.bodySum)
}

// server is a chunk server: it answers 200 with a body that names the request that it has run.
type server struct {
	host
	run *run
	// handle is called when a request has come whole. It returns the answer's status and body; ok is false if the server closes the connection
	// with no answer.
	handle func(q request) (status int, body string, ok bool)

	mu       sync.Mutex
	received []request
	times    []time.Time
}

func (r *run) newServer(name string, block int, handle func(q request) (int, string, bool)) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{run: r, handle: handle, host: host{
		Host: name, Dial: l.Addr().String(), Site: "hall-a", Class: "std-node", Block: block, Health: "up", Share: 1,
	}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

// idleTimeout is when the server closes an idle connection: connIdleUs of the settings.
const idleTimeout = 15 * time.Second

func (s *server) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(idleTimeout))
		if _, err := in.Peek(1); err != nil {
			return
		}
		c.SetReadDeadline(time.Time{})
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" || r.URL.Path == "/status/load" {
			const report = "TEXT backlog=0, outstanding=0"
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
			continue
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		q := request{
			id: r.Header.Get("X-Correlation-Id"), method: r.Method, path: r.URL.RequestURI(), key: r.Header.Get("Idempotency-Key"),
			bodyLength: len(body), bodySum: sum(body),
		}
		s.mu.Lock()
		s.received = append(s.received, q)
		s.times = append(s.times, time.Now())
		s.mu.Unlock()
		status, text, ok := s.handle(q)
		if !ok {
			return
		}
		unprocessed := ""
		if status == http.StatusServiceUnavailable {
			unprocessed = "X-Unprocessed: 1\r\n"
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s",
			status, http.StatusText(status), unprocessed, len(text), text); err != nil {
			return
		}
	}
}

// client is a client's connection.
type client struct {
	net.Conn
	in *bufio.Reader
}

func dial(addr string) (*client, error) {
	c, err := net.DialTimeout("tcp", addr, 3*time.Second)
	if err != nil {
		return nil, err
	}
	return &client{c, bufio.NewReader(c)}, nil
}

// answer is a front's final answer. status is 0 if the connection ended with no whole answer.
type answer struct {
	status int
	body   string
	err    error
}

// read reads one answer.
func (c *client) read(timeout time.Duration) answer {
	c.SetReadDeadline(time.Now().Add(timeout))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: resp.StatusCode, body: string(body)}
}

// do sends a request and reads its answer.
func (c *client) do(text string, timeout time.Duration) answer {
	if _, err := io.WriteString(c, text); err != nil {
		return answer{err: err}
	}
	return c.read(timeout)
}

// message returns a client's request as it is sent, and as a chunk server has to receive it.
func message(class, volume, object, id, key string, shard int, left time.Duration, body []byte) (string, request) {
	method := http.MethodGet
	if body != nil {
		method = http.MethodPut
	}
	path := "/" + class + "/" + volume + "/" + object
	var out strings.Builder
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Plan: team\r\n", method, path, id, class)
	fmt.Fprintf(&out, "X-Time-Left: %dm\r\n", left.Milliseconds())
	if body != nil {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(body))
	}
	if key != "" {
		fmt.Fprintf(&out, "Idempotency-Key: %s\r\n", key)
	}
	fmt.Fprintf(&out, "X-IO: units=1,shard=%d,hosts=1\r\n\r\n", shard)
	out.Write(body)
	return out.String(), request{id: id, method: method, path: path, key: key, bodyLength: len(body), bodySum: sum(body)}
}
