package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"otterturn/internal/testsupport"
)

// A front's peer address can receive any datagram from any sender. Invalid ones are dropped, counted and logged once per kind, and
// the front keeps serving.
func TestBadMessagesAreDroppedAndCounted(t *testing.T) {
	const each = 20
	s := newFleetSite(t, 3, 1, writeFleetFile(t, fleetSettings, 3))
	f := s.fronts[0]
	stranger, err := net.Dial("udp4", f.listen.String())
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	const version = "\xf1\x01"
	head := version + strings.Repeat("\x00", 7) + "\x01" + strings.Repeat("\x00", 12)
	for kind, c := range []struct {
		text, why string
		foreign   bool
	}{
		{text: head[:9], why: `"why":"unreadable"`},                                      // truncated header
		{text: "\xf1\x63" + head[2:], why: `"why":"unreadable"`},                         // another version
		{text: head + strings.Repeat("\xff", 7), why: `"why":"unreadable"`},              // truncated entry
		{text: head + strings.Repeat("\xff", 300), why: `"why":"too long"`},              // oversized
		{text: strings.Repeat("\x00garbage\xff", 9), why: `"why":"of no kind"`},          // unknown kind of message
		{text: head + strings.Repeat("\x01", 15), why: `"why":"no peer"`, foreign: true}, // the sender is not a peer
	} {
		before := f.metric("health.dropped")
		for range each {
			if c.foreign {
				stranger.Write([]byte(c.text))
			} else {
				s.relay.Inject(1, 0, []byte(c.text))
			}
		}
		testsupport.WaitFor(t, fmt.Sprintf("the dropped messages of kind %d", kind), func() bool { return f.metric("health.dropped") >= before+each })
		awaitLogLine(t, f.process, c.why)
		if n := strings.Count(f.output.String(), c.why); n != 1 {
			t.Errorf("%s was logged %d times", c.why, n)
		}
	}
	f.awaitServed(0)
	s.nodes[0].setSilent(true)
	go f.ask(0)
	awaitMetric(t, s.fronts, "health.condemned", 1)
}

// A reload with an invalid fleet file changes nothing, even if the configuration read with it is valid. A reload with a valid fleet
// file applies both.
func TestFleetFileReload(t *testing.T) {
	path := writeFleetFile(t, fleetSettings, 3)
	s := newFleetSite(t, 3, 1, path)
	f := s.fronts[0]
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	config, err := os.ReadFile(f.config)
	if err != nil {
		t.Fatal(err)
	}
	reload := func(path, text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := f.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(f.config, []byte(replace(string(config), `"classes":[`,
		`"classes":[{"name":"index","aimUs":300000,"giveUpUs":5000000,"semantics":"retryable","credit":1},`)), 0o600); err != nil {
		t.Fatal(err)
	}
	for i, c := range []struct{ old, with, says string }{
		{"quorum = 2", "quorum = 1", "health.quorum"},
		{"probers = 3", "probers = 4", "health.probers"},
		{`"0-2"`, `"0-1"`, "zones: front 2 is in none"},
		{"enabled = true", "enabled = false", "health.enabled"},
		{`region = "north"`, `odd = 1`, "zones.odd: unknown"},
	} {
		reload(path, replace(string(good), c.old, c.with))
		awaitMetric(t, []*fleetFront{f}, "reloads_failed", i+1)
		awaitLogLine(t, f.process, c.says)
	}
	if f.metric("served.index") != -1 {
		t.Error("a configuration was applied together with an invalid fleet file")
	}
	s.nodes[0].setSilent(true) // the old settings still apply
	go f.ask(0)
	awaitMetric(t, s.fronts, "health.condemned", 1)
	s.nodes[0].setSilent(false)
	awaitMetric(t, s.fronts, "health.condemned", 0)
	reload(path, replace(string(good), `"8s"`, `"5s"`))
	awaitMetric(t, []*fleetFront{f}, "reloads_ok", 1)
	awaitMetric(t, []*fleetFront{f}, "served.index", 0)
}

// An invalid fleet file ends the start with one line that names the field, and with the exit status for invalid configurations.
func TestInvalidFleetFileEndsTheStart(t *testing.T) {
	platform := fmt.Sprintf(platformConfig, freeAddr(t), "127.0.0.1:1")
	config := writeTemp(t, "config.json", platform)
	for _, c := range []struct{ fleet, says string }{
		{writeTemp(t, "fleet.toml", fleetSettings+formatZones(1)), "health.enabled: the configuration names no peers"},
		{writeTemp(t, "fleet.toml", "[health]\nenabeld = true\n"), "health.enabeld: unknown"},
		{"/nowhere/fleet.toml", "RELAY_FLEET"},
	} {
		p := start(t, []string{"RELAY_CONFIG=" + config, "RELAY_FLEET=" + c.fleet})
		err := testsupport.Await(t, "the exit of the program", p.done)
		exit, text := new(exec.ExitError), p.output.String()
		if !errors.As(err, &exit) || exit.ExitCode() != exitInvalid || strings.Count(text, "\n") != 1 || !strings.Contains(text, c.says) {
			t.Errorf("error %v, output %q, want %q", err, text, c.says)
		}
	}
}
