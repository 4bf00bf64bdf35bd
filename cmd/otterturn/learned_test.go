package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"otterturn/internal/testsupport"
)

// learningConfig writes the operator's file of an appliance that saves its learned state. addr is the appliance's SFTP address.
func learningConfig(t *testing.T, node string) (config, folder, addr string) {
	dir := t.TempDir()
	folder, addr = filepath.Join(dir, "learned"), freeAddr(t)
	text := fmt.Sprintf(filesOnly, addr, filepath.Join(dir, "console.sock"), node) +
		fmt.Sprintf("[learned]\nfolder = %q\nfront = \"files-1\"\ninterval = \"500ms\"\nlease = \"500ms\"\n", folder)
	return writeTemp(t, "appliance.toml", text), folder, addr
}

// servingMessage is the log message of a program that has begun to serve.
const servingMessage = `"msg":"serving"`

func awaitOutput(t *testing.T, p *process, text string) {
	t.Helper()
	testsupport.WaitFor(t, fmt.Sprintf("%q in the log", text), func() bool { return strings.Contains(p.output.String(), text) })
}

// Learned state survives SIGKILL and a graceful shutdown. It can be shown and removed on a running and on a stopped appliance. Only
// one process at a time uses its folder.
func TestLearnedStateSurvivesRestart(t *testing.T) {
	node := testsupport.NewFileServer(t)
	config, folder, addr := learningConfig(t, node.Addr)
	run := func(args ...string) (string, error) {
		c := start(t, nil, append([]string{args[0], "--config", config}, args[1:]...)...)
		err := testsupport.Await(t, "the exit of "+args[0], c.done)
		return c.output.String(), err
	}
	if text, err := run("state", "show"); err == nil {
		t.Errorf("state show before the first save: %q", text)
	}
	p := start(t, nil, "serve", "--config", config)
	awaitOutput(t, p, servingMessage)
	session := nodeSession(t, addr)
	if err := session.Mkdir("/riverside"); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args  []string
		want  string
		fails bool
	}{
		{[]string{"console", "learned"}, "node-a", false},
		{[]string{"state", "show"}, "node-a", false},
		{[]string{"state", "check"}, "whole, 1 nodes", false},
		{[]string{"state", "forget", "node", "node-z"}, `no node "node-z"`, true},
		{[]string{"state", "forget", "node", "node-a"}, "", false},
		{[]string{"state", "forget"}, "<what>", true},
		{[]string{"console", "drain", "node-a"}, "", false},
		{[]string{"console", "learned"}, "draining", false},
	} {
		if text, err := run(c.args...); !strings.Contains(text, c.want) || (err != nil) != c.fails {
			t.Errorf("%v: %q, %v", c.args, text, err)
		}
	}
	second := start(t, nil, "serve", "--config", config)
	if err := testsupport.Await(t, "the exit of the second process", second.done); err == nil ||
		!strings.Contains(second.output.String(), "another process uses the folder") {
		t.Errorf("second process with the same folder: %v, %q", err, second.output)
	}

	p.Process.Signal(syscall.SIGKILL)
	testsupport.Await(t, "the exit of the program", p.done)
	p = start(t, nil, "serve", "--config", config)
	awaitOutput(t, p, servingMessage)
	if text := p.output.String(); !strings.Contains(text, "learned state restored") || !strings.Contains(text, `"node drain restored","node":"node-a"`) {
		t.Errorf("log after the kill: %q", text)
	}
	for range 3 { // these commands cause saves that are running when the appliance stops
		start(t, nil, "console", "--config", config, "learned")
	}
	p.stop(t)
	for _, c := range []struct {
		args  []string
		want  string
		fails bool
	}{
		{[]string{"state", "show"}, ", at its end", false},
		{[]string{"state", "forget", "project", "nobody"}, `nothing is kept of a project "nobody"`, true},
		{[]string{"state", "forget", "all"}, "", false},
		{[]string{"state", "check"}, "the one before: whole, 0 nodes", false},
	} {
		if text, err := run(c.args...); !strings.Contains(text, c.want) || (err != nil) != c.fails {
			t.Errorf("%v, stopped: %q, %v", c.args, text, err)
		}
	}

	// A damaged file causes one log line and is set aside, not removed.
	if err := os.WriteFile(filepath.Join(folder, "learned"), []byte("OTTLEARN and then nothing"), 0o600); err != nil {
		t.Fatal(err)
	}
	if text, err := run("state", "check"); err == nil || !strings.Contains(text, "damaged") {
		t.Errorf("state check of a damaged file: %q, %v", text, err)
	}
	p = start(t, nil, "serve", "--config", config)
	awaitOutput(t, p, servingMessage)
	if text := p.output.String(); strings.Count(text, "snapshot rejected") != 1 || !strings.Contains(text, "it is kept as learned.aside.") {
		t.Errorf("log after a start with a damaged file: %q", text)
	}

	// The folder disappears and reappears: each causes one log line, and commands are served all the time.
	if err := os.Rename(folder, folder+".away"); err != nil {
		t.Fatal(err)
	}
	awaitOutput(t, p, "saving learned state failed")
	if _, err := nodeSession(t, addr).ReadDir("/riverside"); err != nil {
		t.Errorf("directory listing while the folder is missing: %v", err)
	}
	if err := os.Rename(folder+".away", folder); err != nil {
		t.Fatal(err)
	}
	awaitOutput(t, p, "saving learned state recovered")
	p.stop(t)
	if n := strings.Count(p.output.String(), "saving learned state failed"); n != 1 {
		t.Errorf("%d log lines for failed saves, want 1:\n%s", n, p.output)
	}
}
