package protocol

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"net/netip"
	"slices"

	"otterturn/scheduler"
)

// List is an answer of discovery: the full endpoint list, or the entries that changed.
type List struct {
	Seq     int64
	Full    bool
	Hosts   []Host
	Invalid []string // nodes with an invalid entry, which is ignored: such a node keeps its former entry
}

// Host is a node's entry: its endpoint as the scheduler knows it, and the address to connect to.
type Host struct {
	scheduler.Endpoint
	Dial string
}

var nodeStates = map[string]scheduler.NodeState{"up": scheduler.Running, "draining": scheduler.Draining, "removed": scheduler.Removed}

// zoneIndex returns the index of a zone. A zone that the settings do not name gets a negative number of its own, derived from its name.
func zoneIndex(zones []string, name string) int {
	if i := slices.Index(zones, name); i >= 0 {
		return i
	}
	return -1 - int(crc32.ChecksumIEEE([]byte(name)))
}

// ParseList parses an answer of discovery. If any field can't be parsed, the answer is rejected as a whole. An entry with a negative
// shard or start time, or with a start after now, is invalid and ignored. If now is 0, any start time is accepted.
func ParseList(text []byte, zones []string, now scheduler.Micros) (List, error) {
	var in struct {
		Seq   *int64
		Whole bool
		Hosts []struct {
			Host, Dial, Site, Health string
			Block                    int
			BornMs                   int64 `json:"born_ms"`
		}
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return List{}, err
	}
	if in.Seq == nil {
		return List{}, fmt.Errorf("seq: missing")
	}
	if *in.Seq < 0 {
		return List{}, fmt.Errorf("seq: %d is below 0", *in.Seq)
	}
	out := List{Seq: *in.Seq, Full: in.Whole}
	for i, h := range in.Hosts {
		state, ok := nodeStates[h.Health]
		_, err := netip.ParseAddrPort(h.Dial)
		switch {
		case h.Host == "":
			return List{}, fmt.Errorf("hosts[%d].host: missing", i)
		case !ok:
			return List{}, fmt.Errorf("hosts[%d].health: %q is unknown", i, h.Health)
		case err != nil && state != scheduler.Removed:
			return List{}, fmt.Errorf("hosts[%d].dial: %w", i, err)
		}
		if h.Block < 0 || h.BornMs < 0 || now > 0 && h.BornMs > int64(now/1000) {
			out.Invalid = append(out.Invalid, h.Host)
			continue
		}
		out.Hosts = append(out.Hosts, Host{Dial: h.Dial, Endpoint: scheduler.Endpoint{
			Node: h.Host,
			Zone: zoneIndex(zones, h.Site), Shard: h.Block, State: state, StartedAt: scheduler.Micros(h.BornMs * 1000),
		}})
	}
	return out, nil
}
