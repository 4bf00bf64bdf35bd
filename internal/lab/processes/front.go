package processes

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// frontTimeout bounds each wait for a front, such as for its start, also on a busy machine.
const frontTimeout = 30 * time.Second

// Front is a running process of the built program.
type Front struct {
	config config
	path   string // of the configuration file
	cmd    *exec.Cmd
	log    *tail
	ended  chan struct{}
}

// start starts a front at a new address and waits until it serves.
func (l *Lab) start(ctx context.Context, c config) (*Front, error) {
	c.listen, c.control = newAddress(), newAddress()
	f := &Front{config: c, path: filepath.Join(l.dir, fmt.Sprintf("front-%d.json", l.started.Add(1))), log: &tail{}, ended: make(chan struct{})}
	if err := f.writeConfig(); err != nil {
		return nil, err
	}
	f.cmd = exec.CommandContext(ctx, l.Program)
	f.cmd.Env = append(append(os.Environ(), l.Env...), "RELAY_CONFIG="+f.path)
	if c.traceGC { // the line of a garbage collection has the size of the live heap
		f.cmd.Env = append(f.cmd.Env, "GODEBUG=gctrace=1")
	}
	f.cmd.Stdout, f.cmd.Stderr = f.log, f.log
	if err := f.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		f.cmd.Wait()
		close(f.ended)
	}()
	if err := f.await(ctx, f.isReady); err != nil {
		f.Kill()
		return nil, fmt.Errorf("front %d does not serve: %w\n%s", c.number, err, f.log)
	}
	return f, nil
}

// startAll starts fronts whose configurations differ by number and by edit. If one fails, all are killed.
func (l *Lab) startAll(ctx context.Context, count int, c config, edit func(*config)) ([]*Front, error) {
	fronts, errs := make([]*Front, count), make([]error, count)
	var starting sync.WaitGroup
	for i := range count {
		frontConfig := c
		frontConfig.fronts, frontConfig.number = count, i
		edit(&frontConfig)
		starting.Go(func() { fronts[i], errs[i] = l.start(ctx, frontConfig) })
	}
	starting.Wait()
	for _, err := range errs {
		if err != nil {
			killAll(fronts)
			return nil, err
		}
	}
	return fronts, nil
}

func killAll(fronts []*Front) {
	for _, f := range fronts {
		if f != nil {
			f.Kill()
		}
	}
}

// Kill kills the process and waits until it has ended.
func (f *Front) Kill() {
	f.cmd.Process.Kill()
	<-f.ended
}

// Usage returns the resources that the process has used so far.
func (f *Front) Usage() (Usage, error) { return ReadUsage(f.cmd.Process.Pid) }

// writeConfig replaces the configuration file atomically.
func (f *Front) writeConfig() error {
	text, err := f.config.encode()
	if err != nil {
		return err
	}
	if err := os.WriteFile(f.path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(f.path+".new", f.path)
}

// switchDiscovery changes the front's discovery and makes it reload its configuration by SIGHUP.
func (f *Front) switchDiscovery(discovery string) error {
	f.config.discovery = discovery
	if err := f.writeConfig(); err != nil {
		return err
	}
	return f.cmd.Process.Signal(syscall.SIGHUP)
}

// await polls a condition until it holds, the process ends or frontTimeout has passed.
func (f *Front) await(ctx context.Context, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, frontTimeout)
	defer cancel()
	for !holds() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.ended:
			return fmt.Errorf("front process ended")
		case <-time.After(2 * time.Millisecond):
		}
	}
	return nil
}

func (f *Front) isReady() bool {
	resp, err := http.Get("http://" + f.config.listen + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// metric reads a metric from the front's /stats, -1 if it is not available.
func (f *Front) metric(name string) int64 {
	c, err := net.DialTimeout("tcp", f.config.control, time.Second)
	if err != nil {
		return -1
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "GET /stats HTTP/1.1\r\nHost: front\r\n\r\n")
	text, _ := io.ReadAll(c)
	found := regexp.MustCompile(`svc\.` + regexp.QuoteMeta(name) + `:(-?\d+)`).FindSubmatch(text)
	if found == nil {
		return -1
	}
	n, _ := strconv.ParseInt(string(found[1]), 10, 64)
	return n
}

// tail keeps the last tailBytes of a process's output.
type tail struct {
	mu   sync.Mutex
	text []byte
}

const tailBytes = 16 << 10

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	t.text = bytes.Clone(t.text[max(0, len(t.text)-tailBytes):])
	return len(p), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}

var gcHeapSizes = regexp.MustCompile(`\d+->\d+->(\d+) MB`)

// liveHeap returns the live heap in bytes, in steps of 1 MiB, as of the last garbage collection; 0 before the first one.
func (t *tail) liveHeap() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := gcHeapSizes.FindAllSubmatch(t.text, -1)
	if len(all) == 0 {
		return 0
	}
	n, _ := strconv.ParseInt(string(all[len(all)-1][1]), 10, 64)
	return n << 20
}
