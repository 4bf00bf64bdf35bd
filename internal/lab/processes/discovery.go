package processes

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Discovery is a stand-in that answers each call without a rate limit and counts what it sends. The capacity of a real
// discovery is not measured here.
type Discovery struct {
	Addr          string
	CallsReceived atomic.Int64
	CallsAnswered atomic.Int64
	EntriesSent   atomic.Int64
	BytesSent     atomic.Int64 // headers included

	server  *http.Server
	mu      sync.Mutex
	version int64
	nodes   []Entry
	changed chan struct{} // closed and replaced with each change
}

// firstVersion is the version of the list that fronts are started with.
const firstVersion = 1

// startDiscovery serves a list at a new address.
func startDiscovery(nodes []Entry) (*Discovery, error) {
	d := &Discovery{version: firstVersion, nodes: slices.Clone(nodes), changed: make(chan struct{})}
	l, err := net.Listen("tcp", ownHost()+":0")
	if err != nil {
		return nil, err
	}
	d.Addr = l.Addr().String()
	d.server = &http.Server{Handler: d}
	go d.server.Serve(&meter{Listener: l, sent: &d.BytesSent})
	return d, nil
}

// Close closes the server and all of its connections.
func (d *Discovery) Close() { d.server.Close() }

// Change adds entries, replacing those with the same host, and wakes the calls that wait.
func (d *Discovery) Change(entries ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, e := range entries {
		e.version = d.version
		index := slices.IndexFunc(d.nodes, func(old Entry) bool { return old.Host == e.Host })
		if index < 0 {
			d.nodes = append(d.nodes, e)
		} else {
			d.nodes[index] = e
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// answer is the body of an answer: the full list, or the entries changed after a version.
type answer struct {
	Seq   int64   `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []Entry `json:"hosts"`
}

// changesSince returns the answer to a call, and a channel that is closed with the next change.
func (d *Discovery) changesSince(version int64, whole bool) (answer, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := answer{Seq: d.version, Whole: whole, Hosts: []Entry{}}
	for _, e := range d.nodes {
		if e.version > version || whole && e.Health != "removed" {
			out.Hosts = append(out.Hosts, e)
		}
	}
	return out, d.changed
}

// ServeHTTP answers a call at once if there are changes, otherwise with the next change or after hold_ms.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.CallsReceived.Add(1)
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	whole := err != nil
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	out, changed := d.changesSince(from, whole)
	if !whole && len(out.Hosts) == 0 {
		select {
		case <-changed:
			out, _ = d.changesSince(from, false)
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	d.CallsAnswered.Add(1)
	d.EntriesSent.Add(int64(len(out.Hosts)))
	text, err := json.Marshal(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
}
