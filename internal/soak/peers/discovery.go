package peers

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Host is a node as listed by discovery.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// List is the full list of hosts, or the hosts that have changed since a version.
type List struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Discovery holds the list of nodes and passes it to agents.
type Discovery struct {
	mu         sync.Mutex
	seq        int64
	hosts      []Host
	lastChange map[string]int64 // version of the last change of each host
	changed    chan struct{}
}

// NewDiscovery returns a Discovery with the given hosts.
func NewDiscovery(hosts []Host) *Discovery {
	return &Discovery{seq: 1, hosts: hosts, lastChange: map[string]int64{}, changed: make(chan struct{})}
}

// SetHealth changes the health of a host and notifies agents.
func (d *Discovery) SetHealth(host, health string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for i := range d.hosts {
		if d.hosts[i].Host == host {
			d.hosts[i].Health = health
		}
	}
	d.lastChange[host] = d.seq
	close(d.changed)
	d.changed = make(chan struct{})
}

// FullList returns the full list.
func (d *Discovery) FullList() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return List{Seq: d.seq, Whole: true, Hosts: append([]Host(nil), d.hosts...)}
}

// changesSince returns the hosts that have changed since a version, and a channel that the next change closes.
func (d *Discovery) changesSince(from int64) (List, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := List{Seq: d.seq, Hosts: []Host{}}
	for _, h := range d.hosts {
		if d.lastChange[h.Host] > from {
			out.Hosts = append(out.Hosts, h)
		}
	}
	return out, d.changed
}

// Agent serves discovery's list to one front.
type Agent struct {
	Addr      string
	discovery *Discovery
	server    *http.Server

	mu          sync.Mutex
	silentUntil time.Time // it answers no call until then
}

// NewAgent starts an agent.
func NewAgent(d *Discovery) (*Agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{Addr: l.Addr().String(), discovery: d}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", a.endpoints)
	a.server = &http.Server{Handler: mux}
	go a.server.Serve(l)
	return a, nil
}

// Close stops the agent.
func (a *Agent) Close() { a.server.Close() }

// Silence stops the agent from answering for a time, in which calls wait.
func (a *Agent) Silence(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silentUntil = time.Now().Add(d)
}

// IsResponding reports whether the agent answers calls at present.
func (a *Agent) IsResponding() bool { return a.silentFor() <= 0 }

func (a *Agent) silentFor() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Until(a.silentUntil)
}

func (a *Agent) endpoints(w http.ResponseWriter, r *http.Request) {
	if silent := a.silentFor(); silent > 0 {
		select {
		case <-time.After(silent):
		case <-r.Context().Done():
			return
		}
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		json.NewEncoder(w).Encode(a.discovery.FullList())
		return
	}
	hold, _ := strconv.ParseInt(r.URL.Query().Get("hold_ms"), 10, 64)
	timeout := time.NewTimer(time.Duration(hold) * time.Millisecond)
	defer timeout.Stop()
	for {
		list, changed := a.discovery.changesSince(from)
		if len(list.Hosts) > 0 {
			json.NewEncoder(w).Encode(list)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			json.NewEncoder(w).Encode(list)
			return
		case <-r.Context().Done():
			return
		}
	}
}
