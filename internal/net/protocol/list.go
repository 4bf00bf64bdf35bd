package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
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
		Hosts entryReader
	}
	in.Hosts = entryReader{zones: zones, now: now}
	if err := json.Unmarshal(text, &in); err != nil {
		return List{}, err
	}
	if in.Seq == nil {
		return List{}, fmt.Errorf("seq: missing")
	}
	if *in.Seq < 0 {
		return List{}, fmt.Errorf("seq: %d is below 0", *in.Seq)
	}
	return List{Seq: *in.Seq, Full: in.Whole, Hosts: in.Hosts.hosts, Invalid: in.Hosts.invalid}, nil
}

// listEntry is an entry of the list, as discovery writes it.
type listEntry struct {
	Host, Dial, Site, Health string
	Block                    int
	BornMs                   int64 `json:"born_ms"`
}

// entryReader reads the entries of a list one by one, and stops at the first that can't be parsed. Decoded together, a list of empty
// entries would take more than twenty times the memory of its text.
type entryReader struct {
	zones   []string
	now     scheduler.Micros // 0 if any start time is accepted
	hosts   []Host
	invalid []string // nodes with an invalid entry
}

// UnmarshalJSON reads a JSON array of entries.
func (r *entryReader) UnmarshalJSON(text []byte) error {
	r.hosts, r.invalid = nil, nil
	entries := json.NewDecoder(bytes.NewReader(text))
	start, err := entries.Token()
	if err != nil || start == nil { // null is an empty list
		return err
	}
	if start != json.Delim('[') {
		return errors.New("hosts: not a list")
	}
	for i := 0; entries.More(); i++ {
		var entry listEntry
		if err := entries.Decode(&entry); err != nil {
			return fmt.Errorf("hosts[%d]: %w", i, err)
		}
		if err := r.add(entry); err != nil {
			return fmt.Errorf("hosts[%d].%w", i, err)
		}
	}
	return nil
}

// add adds an entry. Its error begins with the name of the field that can't be parsed.
func (r *entryReader) add(entry listEntry) error {
	state, ok := nodeStates[entry.Health]
	_, err := netip.ParseAddrPort(entry.Dial)
	switch {
	case entry.Host == "":
		return errors.New("host: missing")
	case !ok:
		return fmt.Errorf("health: %q is unknown", entry.Health)
	case err != nil && state != scheduler.Removed:
		return fmt.Errorf("dial: %w", err)
	}
	if entry.Block < 0 || entry.BornMs < 0 || r.now > 0 && entry.BornMs > int64(r.now/1000) {
		r.invalid = append(r.invalid, entry.Host)
		return nil
	}
	r.hosts = append(r.hosts, Host{Dial: entry.Dial, Endpoint: scheduler.Endpoint{
		Node: entry.Host,
		Zone: zoneIndex(r.zones, entry.Site), Shard: entry.Block, State: state, StartedAt: scheduler.Micros(entry.BornMs * 1000),
	}})
	return nil
}
