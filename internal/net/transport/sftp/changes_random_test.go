package sftp

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"otterturn/internal/changes"
	"otterturn/internal/limits"
	"otterturn/internal/net/protocol/sftp/packet"
	"otterturn/internal/testsupport"
)

// randomNode gives a node random troubles, and counts the changes that it holds.
type randomNode struct {
	*testsupport.LateFileServer
	mu   sync.Mutex
	rng  *rand.Rand
	held atomic.Int64
}

const commandTime = 150 * time.Millisecond

func (n *randomNode) plan(packet.Request) (out testsupport.Trouble) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delay := time.Duration(n.rng.IntN(3)) * time.Millisecond
	switch n.rng.IntN(16) {
	case 0: // the connection is reset during the work
		out.Reset = true
		delay = time.Duration(n.rng.Int64N(int64(commandTime)))
	case 1: // the answer is late
		delay = commandTime + time.Duration(n.rng.Int64N(int64(commandTime)))
	case 2: // the answer is late, and the connection is reset
		out.Reset = true
		delay = commandTime * 2
	}
	until := make(chan struct{})
	n.held.Add(1)
	time.AfterFunc(delay, func() {
		close(until)
	})
	out.Until = until
	return out
}

func (n *randomNode) drop(packet.Request) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.IntN(60) == 0
}

// randomClient issues operations one at a time.
type randomClient struct {
	*rawConn
	bed     *testbed
	history *history
	rng     *rand.Rand
	marks   *atomic.Int64
}

func (c *randomClient) path() string { return fmt.Sprintf("/a/d%d/f%d", c.rng.IntN(3), c.rng.IntN(4)) }

// next returns a random operation and the fields of its packet.
func (c *randomClient) next() (*operation, []any) {
	o := &operation{path: c.path()}
	mark := c.marks.Add(1)
	switch c.rng.IntN(10) {
	case 0:
		o.kind = packet.Open
		return o, []any{o.path, uint32(openWrite | openCreate | openTruncate), uint32(0)}
	case 1:
		o.kind = packet.Remove
		return o, []any{o.path}
	case 2:
		o.kind, o.target = packet.Rename, c.path()
		if c.rng.IntN(3) == 0 {
			o.path, o.target = fmt.Sprintf("/a/d%d", c.rng.IntN(3)), fmt.Sprintf("/a/d%d", c.rng.IntN(3))
		}
		return o, []any{o.path, o.target}
	case 3:
		o.kind, o.mark = packet.Setstat, fmt.Sprint(mark%0o1000)
		return o, []any{o.path, uint32(packet.HasMode), uint32(mark % 0o1000)}
	case 4:
		o.kind = packet.Open
		return o, []any{o.path, uint32(openWrite | openCreate), uint32(0)}
	}
	o.kind, o.mark, o.from = packet.Write, fmt.Sprintf("%06d", mark), c.rng.IntN(12)
	o.to = o.from + len(o.mark)
	c.send(byte(packet.Open), o.path, uint32(openWrite), uint32(0))
	kind, body := c.reply()
	if kind != byte(packet.HandleReply) {
		return nil, nil
	}
	return o, []any{string(body[8:]), uint64(o.from), o.mark}
}

func (c *randomClient) run() {
	o, fields := c.next()
	if o == nil {
		return
	}
	c.history.begin(o)
	if c.rng.IntN(8) == 0 {
		c.send(byte(o.kind), fields...)
		time.Sleep(time.Duration(c.rng.IntN(3)) * time.Millisecond)
		o.left, o.answered = true, c.history.tick()
		c.Close()
		c.rawConn = c.bed.raw()
		return
	}
	o.ok = c.do(byte(o.kind), fields...)
	o.answered = c.history.tick()
	if !o.ok {
		time.Sleep(pauseAfterFailure)
	}
}

// pauseAfterFailure leaves the scheduler time to try the node again after a reset or a time-out.
const pauseAfterFailure = 15 * time.Millisecond

// playRandomChanges plays rounds of changes by several clients. Between two rounds the node finishes its work, and the operator settles
// what is unsettled.
func playRandomChanges(t *testing.T, seed uint64) (h *history, counts Count) {
	const clients, rounds, operations = 4, 5, 15
	h = &history{}
	node := &randomNode{LateFileServer: testsupport.NewLateFileServer(t), rng: rand.New(rand.NewPCG(seed, 0))}
	node.Plan, node.Drop = node.plan, node.drop
	node.Applied = func(r packet.Request) {
		h.apply(r)
		node.held.Add(-1)
	}
	b := newTestbed(t, commandTime, func(l *limits.Limits) { l.Nodes.ReuseDelay = 0 }, node.Addr)
	var marks atomic.Int64
	for round := range rounds {
		var all sync.WaitGroup
		for i := range clients {
			c := &randomClient{b.raw(), b, h, rand.New(rand.NewPCG(seed, uint64(1+round*clients+i))), &marks}
			all.Go(func() {
				for range operations {
					c.run()
				}
				c.Close()
			})
		}
		all.Wait()
		testsupport.WaitFor(t, "the end of the node's work", func() bool {
			order := b.front.changes
			order.mu.Lock()
			defer order.mu.Unlock()
			return node.held.Load() == 0 && order.ledger.Len() == len(order.ledger.Unsettled())
		})
		b.front.Settle(func(changes.Entry) bool { return true })
	}
	return h, b.front.Count("a")
}

// Guards against acknowledged changes that an earlier one alters, and changes that run twice: random changes of several clients meet
// resets, late nodes, and clients that leave. OTTERTURN_CHANGE_SEEDS is the number of seeds, from OTTERTURN_CHANGE_SEED on.
func TestNoLateChangeAltersAcknowledgedOne(t *testing.T) {
	seeds, first := uint64(8), uint64(1)
	for name, value := range map[string]*uint64{"OTTERTURN_CHANGE_SEEDS": &seeds, "OTTERTURN_CHANGE_SEED": &first} {
		if text := os.Getenv(name); text != "" {
			n, err := strconv.ParseUint(text, 10, 63)
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			*value = n
		}
	}
	var acknowledged, lateEffects, refused, failed, blocked atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for seed := first; seed < first+seeds; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				h, counts := playRandomChanges(t, seed)
				h.mu.Lock()
				defer h.mu.Unlock()
				violations, late := h.check()
				for _, v := range violations {
					t.Errorf("seed %d: %s", seed, v)
				}
				for _, o := range h.operations {
					if o.ok {
						acknowledged.Add(1)
					}
				}
				refused.Add(counts.Refused)
				failed.Add(counts.Failed)
				blocked.Add(counts.Blocked)
				lateEffects.Add(int64(late))
			})
		}
	})
	t.Logf("changes: %d seeds from %d, %d acknowledged, %d refused, %d failed, %d blocked, %d carried out after their command's end",
		seeds, first, acknowledged.Load(), refused.Load(), failed.Load(), blocked.Load(), lateEffects.Load())
	if acknowledged.Load() == 0 || lateEffects.Load() == 0 {
		t.Error("nothing was acknowledged, or nothing was late")
	}
}
