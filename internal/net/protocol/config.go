// Package protocol encodes and decodes the platform's messages. Each message is decoded once into a small typed value and encoded
// once. The package does no I/O.
package protocol

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
)

// Config is the configuration that a front on the platform gets at its start.
type Config struct {
	Listen    string
	Discovery string
	Control   string // address of the operators' interface, "" for none
	Seed      int64
	MemoryMB  int
	Sockets   int
	Known     List
	Settings  Settings

	PeerListen netip.AddrPort   // address on which messages from other fronts arrive
	Peers      []netip.AddrPort // the fronts by index, this one included; empty if fronts exchange no messages
}

// ParseConfig parses the file that RELAY_CONFIG names. Its errors name the invalid field.
func ParseConfig(text []byte) (Config, error) {
	var in struct {
		Listen, Discovery, Control, Seed string
		Limits                           struct {
			MemoryMB int `json:"memory_mb"`
			Sockets  int
		}
		Known      json.RawMessage
		Settings   *settings
		PeerListen string `json:"peer_listen"`
		Peers      []string
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return Config{}, err
	}
	out := Config{Listen: in.Listen, Discovery: in.Discovery, Control: in.Control, MemoryMB: in.Limits.MemoryMB, Sockets: in.Limits.Sockets}
	if _, err := netip.ParseAddrPort(in.Listen); err != nil {
		return Config{}, fmt.Errorf("listen: %w", err)
	}
	if _, err := netip.ParseAddrPort(in.Discovery); err != nil {
		return Config{}, fmt.Errorf("discovery: %w", err)
	}
	if _, err := netip.ParseAddrPort(in.Control); in.Control != "" && err != nil {
		return Config{}, fmt.Errorf("control: %w", err)
	}
	if out.MemoryMB <= 0 || out.Sockets <= 0 {
		return Config{}, fmt.Errorf("limits: memory_mb and sockets must be above 0")
	}
	seed, err := strconv.ParseUint(in.Seed, 16, 64)
	if err != nil {
		return Config{}, fmt.Errorf("seed: %w", err)
	}
	out.Seed = int64(seed)
	if in.Settings == nil {
		return Config{}, fmt.Errorf("settings: missing")
	}
	if err := in.Settings.check(); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	if out.Settings, err = in.Settings.decode(); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	if set := &out.Settings.Scheduler; in.PeerListen == "" || len(in.Peers) == 0 {
		set.PeerMessages = false
	} else if set.PeerMessages {
		if out.PeerListen, err = netip.ParseAddrPort(in.PeerListen); err != nil {
			return Config{}, fmt.Errorf("peer_listen: %w", err)
		}
		if len(in.Peers) != set.Fronts {
			return Config{}, fmt.Errorf("peers: %d, but settings.balancers is %d", len(in.Peers), set.Fronts)
		}
		for i, text := range in.Peers {
			addr, err := netip.ParseAddrPort(text)
			if err != nil {
				return Config{}, fmt.Errorf("peers[%d]: %w", i, err)
			}
			out.Peers = append(out.Peers, addr)
		}
	}
	if len(in.Known) > 0 {
		if out.Known, err = ParseList(in.Known, out.Settings.Zones, 0); err != nil {
			return Config{}, fmt.Errorf("known: %w", err)
		}
	}
	return out, nil
}
