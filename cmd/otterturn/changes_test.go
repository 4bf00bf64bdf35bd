package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"otterturn/internal/net/protocol/sftp/packet"
	"otterturn/internal/testsupport"
)

// Guards against a successor that lets a change of its predecessor undo a later one that it acknowledged: the predecessor is killed, or
// ends in order, while a node works on a write. An operator ends the doubt once the node has been restarted.
func TestUnsettledChangeOutlivesItsProcess(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		node := testsupport.NewLateFileServer(t)
		arrived, release, applied := make(chan struct{}, 1), make(chan struct{}), make(chan struct{}, 1)
		node.Plan = func(r packet.Request) testsupport.Trouble {
			if r.Kind != packet.Write || string(r.Data) != "old" {
				return testsupport.Trouble{}
			}
			arrived <- struct{}{}
			return testsupport.Trouble{Until: release}
		}
		node.Applied = func(r packet.Request) {
			if r.Kind == packet.Write && string(r.Data) == "old" {
				applied <- struct{}{}
			}
		}
		dir, addr := t.TempDir(), freeAddr(t)
		text := fmt.Sprintf(filesOnly, addr, filepath.Join(dir, "console.sock"), node.Addr)
		text = strings.Replace(text, "[sftp]\n", fmt.Sprintf("[sftp]\nchanges = %q\n", filepath.Join(dir, "changes.db")), 1)
		config := writeTemp(t, "appliance.toml", text)
		console := func(words ...string) string {
			c := start(t, nil, append([]string{"console", "--config", config}, words...)...)
			testsupport.Await(t, "the exit of the console", c.done)
			return c.output.String()
		}
		first := start(t, nil, "serve", "--config", config)
		awaitOutput(t, first, servingMessage)
		file, err := nodeSession(t, addr).Create("/riverside/record")
		if err != nil {
			t.Fatal(err)
		}
		go file.WriteAt([]byte("old"), 0)
		testsupport.Await(t, "the write at the node", arrived)
		first.Process.Signal(signal)
		testsupport.Await(t, "the end of the first process", first.done)

		second := start(t, nil, "serve", "--config", config)
		awaitOutput(t, second, servingMessage)
		write := func(data string) error {
			file, err := nodeSession(t, addr).OpenFile("/riverside/record", os.O_WRONLY)
			if err != nil {
				t.Fatal(err)
			}
			_, err = file.WriteAt([]byte(data), 0)
			return err
		}
		if err := write("new"); err == nil || !strings.Contains(err.Error(), "may still carry out") {
			t.Errorf("%v: a later write: %v", signal, err)
		}
		if list := console("unsettled"); !strings.Contains(list, `project riverside node node-a bytes 0 to 3 "/riverside/record"`) {
			t.Errorf("%v: unsettled: %q", signal, list)
		}
		close(release)
		testsupport.Await(t, "the late write", applied)
		if text := console("settle", "node", "node-z"); !strings.Contains(text, "no such unsettled change") {
			t.Errorf("%v: settle of another node: %q", signal, text)
		}
		if text := console("settle", "node", "node-a"); text != "settled 1\n" {
			t.Errorf("%v: settle: %q", signal, text)
		}
		if err := write("new"); err != nil {
			t.Errorf("%v: a write after settle: %v", signal, err)
		}
		if state := node.State("/riverside/record"); state != `644 "new"` {
			t.Errorf("%v: the file holds %s", signal, state)
		}
	}
}
