package testsupport

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// meshOfTwo opens sockets for two fronts with a relay between them. For each front it returns the relay address of the
// other.
func meshOfTwo(t *testing.T, r *Relay) (conns []*net.UDPConn, relayAddrs []netip.AddrPort) {
	t.Helper()
	var addrs []netip.AddrPort
	for range 2 {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		conns, addrs = append(conns, c), append(addrs, c.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	peers := r.Mesh(addrs)
	if peers[0][0] != addrs[0] || peers[1][1] != addrs[1] {
		t.Errorf("own addresses %v and %v, want %v", peers[0][0], peers[1][1], addrs)
	}
	return conns, []netip.AddrPort{peers[0][1], peers[1][0]}
}

// receive reads the next datagram, which must come from the given address.
func receive(t *testing.T, c *net.UDPConn, from netip.AddrPort) string {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(WaitTimeout))
	buffer := make([]byte, 64)
	n, sender, err := c.ReadFromUDPAddrPort(buffer)
	if err != nil {
		t.Fatal(err)
	}
	if sender != from {
		t.Errorf("datagram %q came from %v, want %v", buffer[:n], sender, from)
	}
	return string(buffer[:n])
}

// A datagram that a front sends to the relay address of another front arrives there from the relay address of the sender.
func TestRelayForwardsDatagrams(t *testing.T) {
	r := NewRelay(t, 1)
	conns, names := meshOfTwo(t, r)
	conns[0].WriteToUDPAddrPort([]byte("there"), names[0])
	if got := receive(t, conns[1], names[1]); got != "there" {
		t.Errorf("%q", got)
	}
	r.Datagrams(0, 1).Set(Faults{Cut: true})
	conns[0].WriteToUDPAddrPort([]byte("lost"), names[0])
	WaitFor(t, "the datagram that the link drops", func() bool { return r.Datagrams(0, 1).Received() == 2 })
	conns[1].WriteToUDPAddrPort([]byte("back"), names[1])
	if got := receive(t, conns[0], names[0]); got != "back" {
		t.Errorf("received %q over the opposite link, which has no faults", got)
	}
	r.Inject(0, 1, []byte("injected"))
	if got := receive(t, conns[1], names[1]); got != "injected" {
		t.Errorf("received %q, want the injected datagram", got)
	}
	r.Datagrams(0, 1).Set(Faults{Repeat: 1})
	conns[0].WriteToUDPAddrPort([]byte("twice"), names[0])
	for range 2 {
		if got := receive(t, conns[1], names[1]); got != "twice" {
			t.Errorf("%q", got)
		}
	}
}

// Checks that faults occur at the configured rates, that delays vary per datagram, and that the same seed gives the same
// faults.
func TestRelayFaultsAreDeterminedBySeed(t *testing.T) {
	const datagrams = 10_000
	countFaults := func() (lost, repeated int, delays []time.Duration) {
		r := NewRelay(t, 7)
		l := r.newLink()
		l.Set(Faults{Loss: 0.3, Repeat: 0.2, Delay: time.Second, Jitter: time.Second})
		for range datagrams {
			deliveryDelays := r.deliveryDelays(l)
			switch len(deliveryDelays) {
			case 0:
				lost++
			case 2:
				repeated++
			}
			delays = append(delays, deliveryDelays...)
		}
		return lost, repeated, delays
	}
	lost, repeated, delays := countFaults()
	if lost < datagrams*28/100 || lost > datagrams*32/100 || repeated < datagrams*12/100 || repeated > datagrams*16/100 {
		t.Errorf("of %d datagrams %d were lost and %d repeated, want shares of 0.28 to 0.32 and 0.12 to 0.16", datagrams, lost, repeated)
	}
	if shortest, longest := slices.Min(delays), slices.Max(delays); shortest < time.Second || longest >= 2*time.Second ||
		longest-shortest < 900*time.Millisecond {
		t.Errorf("delays of %v to %v, want them spread from 1 s to 2 s", shortest, longest)
	}
	if _, _, again := countFaults(); !slices.Equal(again, delays) {
		t.Error("the same seed gave other faults")
	}
}

// A connection over a pipe that is cut is silent and continues once the pipe is restored. Other pipes are not affected.
func TestPipeForwardsConnections(t *testing.T) {
	echo := Peer(t, func(_ int, c net.Conn) { io.Copy(c, c) })
	p := NewRelay(t, 1).Pipe(echo)
	c, err := net.Dial("tcp", p.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	lines := make(chan string)
	go func() {
		for in := bufio.NewScanner(c); in.Scan(); {
			lines <- in.Text()
		}
	}()
	fmt.Fprintln(c, "one")
	if got := Await(t, "the echo", lines); got != "one" {
		t.Errorf("%q", got)
	}
	p.To.Set(Faults{Cut: true})
	fmt.Fprintln(c, "two")
	other, err := net.Dial("tcp", NewRelay(t, 1).Pipe(echo).Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	fmt.Fprintln(other, "beside")
	if text, err := bufio.NewReader(other).ReadString('\n'); err != nil || text != "beside\n" {
		t.Errorf("%q, %v", text, err)
	}
	select {
	case got := <-lines:
		t.Errorf("received %q over a link that is cut", got)
	default:
	}
	p.To.Set(Faults{})
	if got := Await(t, "the echo", lines); got != "two" {
		t.Errorf("%q", got)
	}
}
