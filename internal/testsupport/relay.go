package testsupport

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// Relay forwards traffic between processes over links that lose, delay, duplicate, reorder or block it as the test
// configures. It stops when the test ends.
type Relay struct {
	t       *testing.T
	sockets [][]*net.UDPConn
	fronts  []netip.AddrPort
	links   [][]*Link

	mu  sync.Mutex // guards rng
	rng *rand.Rand
}

// Faults configures the faults of a link.
type Faults struct {
	Loss   float64       // share of datagrams that are dropped
	Repeat float64       // share of datagrams that are delivered twice
	Delay  time.Duration // latency of everything that passes
	Jitter time.Duration // each datagram gets a random extra latency below this, so that datagrams are reordered
	Cut    bool          // nothing passes; datagrams are dropped, data of a connection waits until the link is restored
}

// NewRelay returns a relay whose random faults are determined by seed. The seed is logged.
func NewRelay(t *testing.T, seed uint64) *Relay {
	t.Logf("relay: seed %d", seed)
	return &Relay{t: t, rng: rand.New(rand.NewPCG(seed, 0))}
}

// Link carries the traffic of one direction between two processes.
type Link struct {
	relay    *Relay
	mu       sync.Mutex
	faults   Faults
	changed  chan struct{} // closed and replaced at each change of faults
	received int           // datagrams received
}

func (r *Relay) newLink() *Link { return &Link{relay: r, changed: make(chan struct{})} }

// Set replaces the faults of the link.
func (l *Link) Set(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Link) current() (Faults, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults, l.changed
}

// Received returns how many datagrams the link has received, including those it dropped.
func (l *Link) Received() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.received
}

// Mesh puts the relay between fronts that send each other datagrams; fronts holds the addresses at which they listen. It
// returns the peer list of each front: for each other front the address of a relay socket, from which that front's
// datagrams arrive as well.
func (r *Relay) Mesh(fronts []netip.AddrPort) (peers [][]netip.AddrPort) {
	r.t.Helper()
	r.fronts = fronts
	for i := range fronts {
		var sockets []*net.UDPConn
		var addrs []netip.AddrPort
		var links []*Link
		for j := range fronts {
			conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: fronts[i].Addr().AsSlice()})
			if err != nil {
				r.t.Fatal(err)
			}
			r.t.Cleanup(func() { conn.Close() })
			addr := fronts[i] // a front's peer list contains its own address
			if i != j {
				addr = conn.LocalAddr().(*net.UDPAddr).AddrPort()
			}
			sockets, addrs, links = append(sockets, conn), append(addrs, addr), append(links, r.newLink())
		}
		r.sockets, peers, r.links = append(r.sockets, sockets), append(peers, addrs), append(r.links, links)
	}
	for i := range fronts {
		for j := range fronts {
			go r.forwardDatagrams(i, j)
		}
	}
	return peers
}

// Datagrams returns the link from one front to another.
func (r *Relay) Datagrams(from, to int) *Link { return r.links[from][to] }

// Inject sends a datagram to a front as if another front had sent it.
func (r *Relay) Inject(from, to int, text []byte) {
	r.t.Helper()
	if _, err := r.sockets[to][from].WriteToUDPAddrPort(text, r.fronts[to]); err != nil {
		r.t.Error(err)
	}
}

// forwardDatagrams forwards the datagrams that a front sends to the relay socket of another front.
func (r *Relay) forwardDatagrams(from, to int) {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := r.sockets[from][to].ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		text, link := bytes.Clone(buffer[:n]), r.links[from][to]
		for _, delay := range r.deliveryDelays(link) {
			time.AfterFunc(delay, func() { r.sockets[to][from].WriteToUDPAddrPort(text, r.fronts[to]) })
		}
		link.mu.Lock()
		link.received++
		link.mu.Unlock()
	}
}

// deliveryDelays returns the random delays after which a datagram is delivered: none if it is dropped, two if it is duplicated.
func (r *Relay) deliveryDelays(l *Link) (delays []time.Duration) {
	f, _ := l.current()
	r.mu.Lock()
	defer r.mu.Unlock()
	copies := 1
	if r.rng.Float64() < f.Repeat {
		copies = 2
	}
	if f.Cut || r.rng.Float64() < f.Loss {
		copies = 0
	}
	for range copies {
		delay := f.Delay
		if f.Jitter > 0 {
			delay += time.Duration(r.rng.Int64N(int64(f.Jitter)))
		}
		delays = append(delays, delay)
	}
	return delays
}

// Pipe forwards connections to one address, with a link for each direction.
type Pipe struct {
	Addr     string // address that clients connect to
	To, Back *Link
}

// Set replaces the faults of both directions.
func (p *Pipe) Set(f Faults) {
	p.To.Set(f)
	p.Back.Set(f)
}

// Pipe forwards connections to an address. Data on a link that is cut waits there: the connection stays open but silent.
// Of the other faults only Delay applies to connections.
func (r *Relay) Pipe(to string) *Pipe {
	p := &Pipe{To: r.newLink(), Back: r.newLink()}
	p.Addr = Peer(r.t, func(_ int, c net.Conn) {
		out, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		ended := make(chan struct{})
		var end sync.Once
		carry := func(l *Link, to, from net.Conn) {
			l.copyData(to, from, ended)
			end.Do(func() { close(ended) })
			to.Close()
			from.Close()
		}
		go carry(p.Back, c, out)
		carry(p.To, out, c)
	})
	return p
}

// copyData forwards data from one connection to another until either ends.
func (l *Link) copyData(to io.Writer, from io.Reader, ended <-chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !l.waitToPass(ended) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitToPass waits for the link's delay and while the link is cut. It returns false if the connection or the test ended in the
// meantime.
func (l *Link) waitToPass(ended <-chan struct{}) bool {
	for {
		f, changed := l.current()
		wait := time.NewTimer(f.Delay)
		due := wait.C
		if f.Cut {
			due = nil
		}
		select {
		case <-due:
			return true
		case <-changed:
		case <-ended:
			wait.Stop()
			return false
		case <-l.relay.t.Context().Done():
			wait.Stop()
			return false
		}
		wait.Stop()
	}
}
