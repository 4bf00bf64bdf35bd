package processes

import (
	"encoding/json"
	"fmt"
	"time"

	"otterturn/internal/net/protocol"
)

// Entry is a node on discovery's list, in the platform's format.
type Entry struct {
	Host    string `json:"host"`
	Dial    string `json:"dial"`
	Zone    string `json:"site"`
	Shard   int    `json:"block"` // the shard that the node has
	Health  string `json:"health"`
	StartMs int64  `json:"born_ms"`

	version int64 // version of the list with the latest change of the entry
}

// unusedAddress is an address without a listener, for nodes that are listed and get no requests.
const unusedAddress = "127.255.255.254:9"

// entry returns the entry of a running node with an old start time, so that fronts take it for warm.
func entry(shard int, dial string) Entry {
	return Entry{
		Host: fmt.Sprintf("s-%08x", shard), Dial: dial, Zone: zones[shard%len(zones)], Shard: shard, Health: "up",
		StartMs: oldStartMs,
	}
}

// oldStartMs is the start time of nodes that have run for long, in Unix milliseconds.
const oldStartMs = 1_700_000_000_000

// zones are the names of five zones in each of two regions.
var zones = []string{"r1-z1", "r1-z2", "r1-z3", "r1-z4", "r1-z5", "r2-z1", "r2-z2", "r2-z3", "r2-z4", "r2-z5"}

// config is the configuration of one front.
type config struct {
	listen, discovery, control string
	fronts, number             int
	onRequest                  bool // fronts ask one discovery; otherwise changes are pushed to one agent per front
	memoryMB, sockets          int
	clientTimeout              time.Duration // maximum wait of clients
	traceGC                    bool          // the front logs its garbage collections
	maxUnits                   int           // maximum units of a request; 0 for one unit each
	nodes                      []Entry
	shards                     int
	peerListen                 string
	peers                      []string
}

// Limits of a front with ample resources, and those with which the platform starts a front today.
const (
	ampleMemoryMB, ampleSockets = 1024, 16384
	todayMemoryMB, todaySockets = 192, 1024
)

// defaultClientTimeout is the default maximum wait of clients.
const defaultClientTimeout = 5 * time.Second

// encode encodes the configuration for the file that RELAY_CONFIG names.
func (c config) encode() ([]byte, error) {
	type object = map[string]any
	mode := "pushed"
	if c.onRequest {
		mode = "on_request"
	}
	class := func(name string) object {
		return object{"name": name, "aimUs": 300_000, "giveUpUs": c.clientTimeout.Microseconds(), "semantics": "retryable", "credit": 1}
	}
	return json.Marshal(object{
		"name": fmt.Sprintf("front-%d", c.number), "listen": c.listen, "discovery": c.discovery, "control": c.control,
		"seed":   fmt.Sprintf("%016x", c.number+1),
		"limits": object{"cores": 1.0, "memory_mb": c.memoryMB, "sockets": c.sockets},
		"peers":  c.peers, "peer_listen": c.peerListen,
		"known": object{"seq": 1, "whole": true, "hosts": c.nodes},
		"settings": object{
			"balancers": c.fronts, "slotNo": c.number, "tickUs": 2000, "registryMode": mode, "zones": zones,
			"ceilings": object{
				"peers": len(c.peers) > 0, "connIdleUs": 15_000_000, "connectTimeoutUs": 250_000, "maxOpen": 100_000,
				"tryLimit": 4, "probing": true, "retryAfter": true, "maxRetryAfterUs": 500_000,
			},
			"classes":   []object{class("read"), class("write")},
			"contracts": []object{{"name": "gold", "shares": 1}},
			"familyInfo": object{
				"coldUnits": 1, "meanUnits": 2, "mostUnits": 3, "shards": c.shards,
				"classWrites": []bool{false, true},
			},
			"safety": object{
				"coldFrom": 0.2, "fallMultiple": 2.5, "fallUs": 1_000_000, "rampTimeUs": 17_000_000, "drainGraceUs": 500_000,
				"budgetSpanUs": 10_000_000, "spareAttempts": 20, "budgetShare": 0.1,
			},
			"report": object{"how": "off"},
		},
	})
}

// settings returns the protocol settings that clients need.
func (c config) settings() (protocol.Settings, error) {
	text, err := c.encode()
	if err != nil {
		return protocol.Settings{}, err
	}
	parsed, err := protocol.ParseConfig(text)
	return parsed.Settings, err
}
