package transport

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"otterturn/internal/net/protocol"
	"otterturn/internal/testsupport"
	"otterturn/scheduler"
	"otterturn/scheduler/slowstart"
)

// A discovery answer with about 450 nodes once exceeded the number of bytes that were read, so the list was never updated
// again. Fleets have hundreds of nodes, and no limit may be below what they need.
func TestListOfTwoThousandNodes(t *testing.T) {
	const nodeCount = 2000
	var hosts []string
	for i := range nodeCount {
		hosts = append(hosts, fmt.Sprintf(
			`{"host":"s-%08x","dial":"127.11.%d.%d:5000","site":"hall-a","class":"std-node","block":%d,"health":"up","share":1.25,"born_ms":1796159830723}`,
			i, i/250, i%250+1, i,
		))
	}
	text := fmt.Sprintf(`{"seq":42,"whole":true,"hosts":[%s]}`, strings.Join(hosts, ","))
	addr, _ := startNode(t, func(_ int64, c net.Conn, _ *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	lists := make(chan protocol.List, 1)
	nodes := NewNodes(testsupport.Limits())
	go Watch(ctx, addr, FullList, []string{"hall-a"}, testsupport.Limits(), 1, systemTime, func(l protocol.List) {
		nodes.Apply(l)
		lists <- l
		<-ctx.Done()
	}, testsupport.Log(func(line string) { t.Error(line) }))
	if got := testsupport.Await(t, "the list to be applied", lists); len(got.Hosts) != nodeCount || len(nodes.States()) != nodeCount {
		t.Errorf("%d nodes read, %d kept", len(got.Hosts), len(nodes.States()))
	}
}

// startPeers opens sockets for n fronts that know each other.
func startPeers(t *testing.T, n int, logLine func(string)) (peers []*Peers, received []chan scheduler.Event) {
	var addrs []netip.AddrPort
	for range n { // a port that is free now stays free for a moment, as nothing else uses this address
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, netip.MustParseAddrPort(c.LocalAddr().String()))
		c.Close()
	}
	for _, a := range addrs {
		p, err := ListenPeers(a, addrs, testsupport.Limits(), testsupport.Log(logLine))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		events := make(chan scheduler.Event, 16)
		go p.Run(ctx, func(e scheduler.Event) { events <- e })
		peers, received = append(peers, p), append(received, events)
	}
	return peers, received
}

func TestPeersExchangeMessages(t *testing.T) {
	logged := make(chan string, 1)
	peers, received := startPeers(t, 2, func(line string) { logged <- line })
	capacity := slowstart.CapacityRequest{Units: 2, MinUnits: 1, Report: slowstart.LoadReport{Served: 3.5, Units: 7.25, Time: 0.125}}
	peers[0].Send(1, scheduler.RequestCapacity{To: 1, Node: "s-1", CapacityRequest: capacity})
	if got, want := testsupport.Await(t, "a capacity request", received[1]),
		(scheduler.CapacityRequested{From: 0, Node: "s-1", CapacityRequest: capacity}); got != want {
		t.Errorf("received %v, want %v", got, want)
	}
	peers[1].Send(0, scheduler.GrantCapacity{To: 0, Node: "s-1", Units: 2, ValidUntil: 17})
	if got, want := testsupport.Await(t, "a grant", received[0]), (scheduler.CapacityGranted{From: 1, Node: "s-1", Units: 2, ValidUntil: 17}); got != want {
		t.Errorf("received %v, want %v", got, want)
	}
	// Messages that can't be parsed, that come from other senders or that are too long do not stop the receiver.
	peers[0].Send(7, scheduler.RequestCapacity{To: 7, Node: "s-1"})
	peers[0].conn.WriteToUDPAddrPort([]byte("ask x 1 1 1 1 5 s-1"), peers[1].addrs[1])
	if line := testsupport.Await(t, "a log line", logged); !strings.Contains(line, "units") {
		t.Errorf("log line %q, want the name of the field", line)
	}
	stranger, err := net.Dial("udp4", peers[1].addrs[1].String())
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	stranger.Write([]byte("grant 2.000 17 s-1"))
	peers[0].conn.WriteToUDPAddrPort(make([]byte, 400), peers[1].addrs[1])
	peers[0].Send(1, scheduler.RequestCapacity{To: 1, Node: "s-2", CapacityRequest: capacity})
	if got := testsupport.Await(t, "the next capacity request", received[1]); got.(scheduler.CapacityRequested).Node != "s-2" {
		t.Errorf("received %v", got)
	}
}

// A datagram that Intercept takes is not parsed as a scheduler message, and dropped datagrams are reported to OnDrop instead
// of the log.
func TestPeersInterceptAndReportDrops(t *testing.T) {
	var addrs []netip.AddrPort
	for range 2 {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, netip.MustParseAddrPort(c.LocalAddr().String()))
		c.Close()
	}
	var peers []*Peers
	for _, a := range addrs {
		p, err := ListenPeers(a, addrs, testsupport.Limits(), testsupport.Log(func(line string) { t.Error(line) }))
		if err != nil {
			t.Fatal(err)
		}
		peers = append(peers, p)
	}
	type datagram struct {
		from int
		text string
	}
	intercepted, drops, received := make(chan datagram, 16), make(chan error, 16), make(chan scheduler.Event, 16)
	peers[1].Intercept = func(from int, text []byte) bool {
		if text[0] != '!' {
			return false
		}
		intercepted <- datagram{from, string(text)}
		return true
	}
	peers[1].OnDrop = func(_ netip.AddrPort, reason error) { drops <- reason }
	for _, p := range peers {
		go p.Run(t.Context(), func(e scheduler.Event) { received <- e })
	}
	peers[0].SendBytes(7, []byte("!nobody"))
	peers[0].SendBytes(1, []byte("!mine"))
	if got := testsupport.Await(t, "the intercepted datagram", intercepted); got != (datagram{0, "!mine"}) {
		t.Errorf("intercepted %+v", got)
	}
	peers[0].SendBytes(1, []byte("odd"))
	if err := testsupport.Await(t, "a dropped datagram", drops); !strings.Contains(err.Error(), "no kind") {
		t.Error(err)
	}
	peers[0].SendBytes(1, make([]byte, protocol.MaxPeerMessageBytes+40))
	if err := testsupport.Await(t, "a dropped datagram", drops); err != ErrTooLong {
		t.Error(err)
	}
	stranger, err := net.Dial("udp4", addrs[1].String())
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	stranger.Write([]byte("!mine"))
	if err := testsupport.Await(t, "a dropped datagram", drops); err != ErrNoPeer {
		t.Error(err)
	}
	peers[0].Send(1, scheduler.GrantCapacity{To: 1, Node: "s-1", Units: 2, ValidUntil: 17})
	if got := testsupport.Await(t, "a grant", received); got.(scheduler.CapacityGranted).Node != "s-1" {
		t.Errorf("received %v", got)
	}
}
