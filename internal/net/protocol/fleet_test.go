package protocol

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"otterturn/scheduler"
)

// largeConfig returns the configuration of one of many fronts with as many nodes.
func largeConfig(t *testing.T, count int) string {
	settings, err := json.Marshal(FormatSettings(scheduler.Settings{
		Fronts: count, FrontIndex: count - 1, PeerMessages: true, Tick: 1000, MeanUnits: 2, MaxUnits: 6,
		Classes: []scheduler.Class{{LatencyObjective: 300_000, Priority: 1}}, Plans: []scheduler.Plan{{Weight: 1}},
	}))
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer(`"ConnIdleUs":0`, `"ConnIdleUs":15000000`, `"ConnectTimeoutUs":0`, `"ConnectTimeoutUs":250000`,
		`"GiveUpUs":0`, `"GiveUpUs":2500000`).Replace(string(settings))
	var peers, hosts []string
	for i := range count {
		peers = append(peers, fmt.Sprintf(`"10.3.%d.%d:7946"`, i/250, i%250+1))
		hosts = append(hosts, fmt.Sprintf(`{"host":"s-%08x","dial":"10.1.%d.%d:5000","site":"a","block":%d,"health":"up","born_ms":0}`, i, i/250, i%250+1, i))
	}
	return fmt.Sprintf(`{"name":"n3","listen":"10.0.0.4:5000","discovery":"10.2.0.1:8500","seed":"8c1f","limits":{"memory_mb":72,"sockets":512},
"peer_listen":"10.0.0.4:7946","peers":[%s],"known":{"seq":41,"whole":true,"hosts":[%s]},"settings":%s}`,
		strings.Join(peers, ","), strings.Join(hosts, ","), text)
}

func TestConfigurationOfTwoThousandFrontsAndNodes(t *testing.T) {
	const count = 2000
	got, err := ParseConfig([]byte(largeConfig(t, count)))
	if err != nil {
		t.Fatal(err)
	}
	if set := got.Settings.Scheduler; len(got.Peers) != count || len(got.Known.Hosts) != count ||
		set.Fronts != count || set.FrontIndex != count-1 || !set.PeerMessages {
		t.Errorf("%d peers, %d nodes, %d fronts, index %d, peer messages %v", len(got.Peers), len(got.Known.Hosts), set.Fronts, set.FrontIndex, set.PeerMessages)
	}
}

// Guards against a front that uses the index of another one, because its peer list is wrong: it would grant capacity that the other
// front grants. A peer list with an error is rejected as a whole, and the error names the field.
func TestInvalidPeersAreNamed(t *testing.T) {
	good := largeConfig(t, 3)
	for old, c := range map[string]struct{ with, field string }{
		`"10.3.0.2:7946"`:               {`"10.3.0.2"`, "peers[1]"},
		`"10.3.0.3:7946"]`:              {`"10.3.0.3:7946","10.3.0.4:7946"]`, "peers: 4"},
		`"peer_listen":"10.0.0.4:7946"`: {`"peer_listen":"here"`, "peer_listen"},
	} {
		if _, err := ParseConfig([]byte(strings.Replace(good, old, c.with, 1))); err == nil || !strings.Contains(err.Error(), c.field) {
			t.Errorf("%s: error %v", c.with, err)
		}
	}
	silent, err := ParseConfig([]byte(strings.Replace(good, `"peer_listen":"10.0.0.4:7946",`, "", 1)))
	if err != nil || silent.Settings.Scheduler.PeerMessages || len(silent.Peers) > 0 {
		t.Errorf("without a peer_listen address: error %v, peers %v", err, silent.Peers)
	}
}

func TestInvalidPeerMessagesAreNamed(t *testing.T) {
	for _, c := range []struct{ text, field string }{
		{"", "no kind"},
		{"ask", "no kind"},
		{"tell 1 2", "no kind"},
		{"ask 1 1 1 1 s-1", "no kind"},
		{"ask 1 x 1 1 1 5 s-1", "units"},
		{"ask 1 1 NaN 1 1 5 s-1", "units"},
		{"ask 1 1 1 1 -1 5 s-1", "units"},
		{"ask 1 1 1 1 1 -5 s-1", "since"},
		{"ask 1 1 1 1 1 now s-1", "since"},
		{"grant 1e9 1 s-1", "units"},
		{"grant 1 soon s-1", "until"},
		{"grant 1 0 s-1", "until"},
	} {
		if e, err := ParsePeerMessage(1, []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.field) {
			t.Errorf("%q: %v, %v", c.text, e, err)
		}
	}
	if FormatPeerMessage(scheduler.RequestCapacity{Node: strings.Repeat("x", 300)}) != nil || FormatPeerMessage(scheduler.SetTimer{}) != nil {
		t.Error("a message was written for an action that is too long or not for another front")
	}
}
