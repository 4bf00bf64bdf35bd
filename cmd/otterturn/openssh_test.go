package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/sftp"

	"otterturn/internal/testsupport"
)

// Guards against incomplete uploads that the client takes for complete. OpenSSH's client has up to 64 writes open and keeps only
// the status of the last answer. On a node with slow writes it uploaded four files and reported success for all of them, and all four
// had holes.
func TestOpenSSHUploadsAreComplete(t *testing.T) {
	if _, err := exec.LookPath("sftp"); err != nil {
		t.Skip("no OpenSSH client on this machine")
	}
	node := testsupport.NewFileServer(t)
	var busy sync.Mutex
	node.Before = func(op, _ string) bool {
		if op == "Write" {
			busy.Lock()
			defer busy.Unlock()
			time.Sleep(25 * time.Millisecond)
		}
		return false
	}
	dir, addr := t.TempDir(), freeAddr(t)
	config := writeTemp(t, "appliance.toml", strings.ReplaceAll(
		fmt.Sprintf(filesOnly, addr, filepath.Join(dir, "console.sock"), node.Addr), `wait = "5s"`, `wait = "2s"`))
	p := start(t, nil, "serve", "--config", config)
	defer p.stop(t)
	testsupport.WaitFor(t, "the front to accept connections", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	put := func(local, remote string) error {
		c := exec.Command("sftp", "-q", "-b", "-", "-D", os.Args[0])
		c.Env = append(os.Environ(), "OTTERTURN_TEST_BRIDGE="+addr)
		c.Stdin = bytes.NewBufferString("-mkdir /riverside\nput " + local + " " + remote + "\n")
		out, err := c.CombinedOutput()
		if err != nil {
			t.Logf("%s: %v\n%s", remote, err, out)
		}
		return err
	}
	direct := nodeSession(t, node.Addr)
	for _, clients := range []int{1, 4} {
		data := make([]byte, 2<<20/clients)
		rand.NewChaCha8([32]byte{1}).Read(data)
		local := writeTemp(t, "local", string(data))
		var all sync.WaitGroup
		for i := range clients {
			all.Go(func() {
				remote := fmt.Sprintf("/riverside/%d-%d", clients, i)
				if err := put(local, remote); err != nil {
					t.Errorf("upload of %s failed", remote)
				}
				if got, err := fetch(direct, remote); err != nil || !bytes.Equal(got, data) {
					t.Errorf("%s is incomplete on the node: %v", remote, err)
				}
			})
		}
		all.Wait()
	}
}

// nodeSession opens an SFTP session directly with a node.
func nodeSession(t *testing.T, addr string) *sftp.Client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	s, err := sftp.NewClientPipe(c, c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// fetch reads a whole file through an SFTP session.
func fetch(s *sftp.Client, path string) ([]byte, error) {
	f, err := s.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(f)
}
