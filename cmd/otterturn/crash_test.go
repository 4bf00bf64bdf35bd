package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"otterturn/internal/state/snapshot"
	"otterturn/internal/state/store"
	"otterturn/internal/testsupport"
	"otterturn/scheduler"
)

// Sizes of the uploads, and the limit of the limited project.
const (
	crashWriteBytes = 32 << 10
	crashUnits      = 3.0 // per write of crashWriteBytes bytes
	crashRate       = 12.0
	crashBurst      = 36.0
)

// bucketMeter computes the level of a token bucket from the writes that reach a node.
type bucketMeter struct {
	mu       sync.Mutex
	level    float64
	minLevel float64
	at       time.Time
	units    float64
}

func (m *bucketMeter) draw(units float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.level = min(crashBurst, m.level+crashRate*now.Sub(m.at).Seconds()) - units
	m.at, m.minLevel, m.units = now, min(m.minLevel, m.level), m.units+units
}

// uploadClients is a set of clients that upload until they are stopped. Each keeps a few writes in flight and reconnects after the front
// was killed. They count answers that arrive twice or not at all.
type uploadClients struct {
	addr                           string
	stop                           chan struct{}
	all                            sync.WaitGroup
	answered, broken, duplicate    atomic.Int64
	unanswered, refused, succeeded atomic.Int64
}

func (c *uploadClients) client(path string) {
	for {
		select {
		case <-c.stop:
			return
		default:
		}
		conn, err := net.Dial("tcp", c.addr)
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		c.session(conn, path)
		conn.Close()
	}
}

// session writes on one connection until it breaks or an answer is missing.
func (c *uploadClients) session(conn net.Conn, path string) {
	const maxOpen = 4
	reply := func() (kind byte, id uint32, rest []byte, err error) {
		conn.SetReadDeadline(time.Now().Add(testsupport.WaitTimeout))
		var head [9]byte
		if _, err := io.ReadFull(conn, head[:]); err != nil {
			return 0, 0, nil, err
		}
		rest = make([]byte, binary.BigEndian.Uint32(head[:])-5)
		_, err = io.ReadFull(conn, rest)
		return head[4], binary.BigEndian.Uint32(head[5:]), rest, err
	}
	conn.Write([]byte{0, 0, 0, 5, 1, 0, 0, 0, 3})
	if _, _, _, err := reply(); err != nil {
		return
	}
	conn.Write(testsupport.Command(3, 0, []byte(path), uint32(0x0a), uint32(0))) // SSH_FXF_WRITE | SSH_FXF_CREAT
	kind, _, rest, err := reply()
	if err != nil || kind != 102 {
		return
	}
	handle, data := rest[4:], make([]byte, crashWriteBytes)
	open := map[uint32]bool{}
	for id := uint32(1); ; {
		for len(open) < maxOpen {
			if _, err := conn.Write(testsupport.Command(6, id, handle, uint64(id%64)*crashWriteBytes, data)); err != nil {
				c.broken.Add(int64(len(open)))
				return
			}
			open[id] = true
			id++
		}
		select {
		case <-c.stop:
			return
		default:
		}
		_, answeredID, rest, err := reply()
		if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
			c.unanswered.Add(1)
			return
		}
		if err != nil {
			c.broken.Add(int64(len(open)))
			return
		}
		if !open[answeredID] {
			c.duplicate.Add(1)
		}
		delete(open, answeredID)
		c.answered.Add(1)
		if binary.BigEndian.Uint32(rest) != 0 { // the handle is unusable after a failed write: reconnect
			c.refused.Add(1)
			return
		}
		c.succeeded.Add(1)
	}
}

// replaceSnapshot replaces the current snapshot file with one that must not be used as current, and returns the kind of damage. The
// previous generation stays. A kill between two steps of a save leaves the last snapshot under both names, so the previous generation
// may be an intact copy of it; the front may use that.
func replaceSnapshot(t *testing.T, folder string, n int) string {
	name := filepath.Join(folder, "learned")
	file, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	snap, err := snapshot.Decode(file)
	if err != nil {
		t.Fatalf("decoding the snapshot after a kill: %v", err)
	}
	kinds := []string{"cut", "flipped", "hours old", "of the future", "another front's"}
	kind := kinds[n%len(kinds)]
	switch kind {
	case "cut":
		file = file[:rand.IntN(len(file))]
	case "flipped":
		file[rand.IntN(len(file))] ^= 1 << rand.IntN(8)
	case "hours old":
		snap.Saved -= scheduler.Micros(3 * time.Hour / time.Microsecond)
	case "of the future":
		snap.Saved += scheduler.Micros(time.Hour / time.Microsecond)
	default:
		snap.Front = "another"
	}
	if kind != "cut" && kind != "flipped" {
		if file, err = snapshot.Encode(snap); err != nil {
			t.Fatal(err)
		}
	}
	// Removed first, as both names can be links to one file after a kill between two steps of a save: only the current file
	// must be damaged.
	if err := os.Remove(name); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(name, file, 0o600); err != nil {
		t.Fatal(err)
	}
	return kind
}

var restoredLine = regexp.MustCompile(`"msg":"learned state restored","snapshot":(\d+),"nodes":(\d+),"projects":(\d+),"age":"[^"]*","previous":(true|false)`)

// The appliance is killed at random moments while clients upload to a project with a limit. Each start must restore the last
// intact snapshot of the same front and no other file. The limit must hold across all restarts. Each command has exactly one
// answer or a broken connection. OTTERTURN_KILLS sets the number of kills, see 'make crash'.
func TestCrash(t *testing.T) {
	kills := 12
	if text := os.Getenv("OTTERTURN_KILLS"); text != "" {
		var err error
		if kills, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	limit := &bucketMeter{level: crashBurst, minLevel: crashBurst, at: time.Now()}
	node := testsupport.NewFileServer(t)
	node.Before = func(op, path string) bool {
		if op == "Write" && strings.HasPrefix(path, "/limited/") {
			limit.draw(crashUnits)
		}
		return false
	}
	config, folder, addr := learningConfig(t, node.Addr)
	text, err := os.ReadFile(config)
	if err != nil {
		t.Fatal(err)
	}
	text = append(text, "[[plans]]\nname = \"basic\"\nweight = 1.0\nlimit = 12.0\nburst = 36.0\n"+
		"[[projects]]\nname = \"limited\"\nprefix = \"/limited\"\nplan = \"basic\"\nshard = 0\n"...)
	if err := os.WriteFile(config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	direct := nodeSession(t, node.Addr)
	for _, dir := range []string{"/limited", "/riverside"} {
		if err := direct.Mkdir(dir); err != nil {
			t.Fatal(err)
		}
	}
	clients := &uploadClients{addr: addr, stop: make(chan struct{})}
	for i := range 4 {
		clients.all.Go(func() { clients.client(fmt.Sprint([]string{"/limited/", "/riverside/"}[i%2], i)) })
	}
	var last uint64
	restored, sabotaged, accepted, emptyStarts := 0, 0, 0, 0
	damage, written := "", false
	for n := range kills {
		p := start(t, nil, "serve", "--config", config)
		awaitOutput(t, p, servingMessage)
		out := p.output.String()
		found := restoredLine.FindStringSubmatch(out)
		switch {
		case damage == "" && written && (found == nil || found[1] != fmt.Sprint(last) || strings.Contains(out, "not used")):
			t.Errorf("kill %d: snapshot %d was not restored, log:\n%s", n, last, out)
		case damage == "hours old" && (found == nil || found[2] != "0" || found[3] != "0"),
			damage != "" && damage != "hours old" && (!strings.Contains(out, "not used") || found != nil && found[4] == "false"):
			accepted++
			t.Errorf("kill %d: a snapshot file (%s) was not handled as such, log:\n%s", n, damage, out)
		}
		if found != nil {
			restored++
		} else {
			emptyStarts++
		}
		lives := []time.Duration{30 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond}
		time.Sleep(time.Duration(rand.Int64N(int64(lives[n%len(lives)]))))
		p.Process.Signal(syscall.SIGKILL)
		testsupport.Await(t, "the exit of the program", p.done)
		snap, err := store.Read(folder, false)
		damage = ""
		switch {
		case err != nil && !written && os.IsNotExist(err): // killed before the first save
			continue
		case err != nil:
			t.Fatalf("reading the snapshot after kill %d: %v", n, err)
		case snap.Count < last:
			t.Errorf("kill %d: snapshot %d is older than snapshot %d before it", n, snap.Count, last)
		}
		last, written = snap.Count, true
		if n%7 == 3 {
			damage = replaceSnapshot(t, folder, sabotaged)
			sabotaged++
		}
	}
	close(clients.stop)
	clients.all.Wait()
	limit.mu.Lock()
	defer limit.mu.Unlock()
	// The platform's rule allows an excess of a tenth of the burst or one largest command, plus the refill of 150 ms.
	slack := max(crashBurst/10, 8) + crashRate*0.15
	if limit.minLevel < -slack {
		t.Errorf("the limit was exceeded by %.1f units, at most %.1f are allowed", -limit.minLevel, slack)
	}
	if clients.duplicate.Load()+clients.unanswered.Load() > 0 {
		t.Errorf("%d answers arrived twice, %d never", clients.duplicate.Load(), clients.unanswered.Load())
	}
	if clients.succeeded.Load() == 0 || limit.units == 0 {
		t.Error("no upload came through")
	}
	fmt.Printf("crash: %d kills, %d starts from a snapshot and %d from nothing, %d damaged or stale files offered and %d "+
		"taken for current; limit's store %.1f at the least (bound -%.1f) over %.0f units; %d answers (%d refusals or "+
		"failures), %d commands broken off, %d answered twice, %d never\n", kills, restored, emptyStarts, sabotaged, accepted, limit.minLevel,
		slack, limit.units, clients.answered.Load(), clients.refused.Load(), clients.broken.Load(), clients.duplicate.Load(),
		clients.unanswered.Load())
}
