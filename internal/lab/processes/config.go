package processes

import (
	"encoding/json"
	"fmt"
	"time"

	"otterturn/internal/net/protocol"
)

// Entry is a node on discovery's list, as the platform writes it.
type Entry struct {
	Host   string `json:"host"`
	Dial   string `json:"dial"`
	Site   string `json:"site"`
	Block  int    `json:"block"` // the shard whose data it has
	Health string `json:"health"`
	Born   int64  `json:"born_ms"`

	changed int64 // version of the list that brought it
}

// nowhere is an address that nobody listens at, for nodes that are listed and asked for nothing.
const nowhere = "127.255.255.254:9"

// entry is that of a node that runs, and is warm unless it was born just now.
func entry(shard int, dial string) Entry {
	return Entry{Host: fmt.Sprintf("s-%08x", shard), Dial: dial, Site: zones[shard%len(zones)], Block: shard, Health: "up", Born: born}
}

// born is the start of nodes that have run for long, in milliseconds.
const born = 1_700_000_000_000

// zones are those of two regions.
var zones = []string{"r1-z1", "r1-z2", "r1-z3", "r1-z4", "r1-z5", "r2-z1", "r2-z2", "r2-z3", "r2-z4", "r2-z5"}

// config is what a front is started with.
type config struct {
	listen, discovery, control string
	fronts, number             int
	asked                      bool // discovery has to be asked; else changes are pushed to an agent of the front's own
	memoryMB, sockets          int
	giveUp                     time.Duration // what clients wait at most
	traced                     bool          // collections of the heap are told
	units                      int           // of a request at most, 0 for one each
	nodes                      []Entry
	shards                     int
	peerListen                 string
	peers                      []string
}

// Limits of a front for which nothing is scarce, and of one as the platform starts it today.
const (
	wideMemoryMB, wideSockets   = 1024, 16384
	todayMemoryMB, todaySockets = 192, 1024
)

// patience is what clients wait at most, where nothing else is said.
const patience = 5 * time.Second

// text is the file that RELAY_CONFIG names.
func (c config) text() ([]byte, error) {
	type object = map[string]any
	mode := "pushed"
	if c.asked {
		mode = "on_request"
	}
	class := func(name string) object {
		return object{"name": name, "aimUs": 300_000, "giveUpUs": c.giveUp.Microseconds(), "semantics": "retryable", "credit": 1}
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

// settings are what clients need to know of it.
func (c config) settings() (protocol.Settings, error) {
	text, err := c.text()
	if err != nil {
		return protocol.Settings{}, err
	}
	parsed, err := protocol.ParseConfig(text)
	return parsed.Settings, err
}
