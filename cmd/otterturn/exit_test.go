package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"otterturn/internal/testsupport"
)

// Scripts distinguish kinds of failure by the exit status.
func TestExitStatus(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("limits = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	config, _, _ := learningConfig(t, freeAddr(t))
	p := start(t, nil, "serve", "--config", config)
	awaitOutput(t, p, servingMessage)
	for _, c := range []struct {
		want int
		args []string
	}{
		{0, []string{"check", "--config", config}},
		{0, []string{"version"}},
		{2, []string{"check", "--config", bad}},
		{2, []string{"serv"}},
		{2, []string{"console", "--wrong"}},
		{0, []string{"console", "--config", config, "status"}},
		{3, []string{"console", "--config", config, "drain", "nobody"}},
		{3, []string{"cert", "renew", "none", "--config", config}},
		{0, []string{"state", "show", "--config", config}},
	} {
		ended := start(t, nil, c.args...)
		got, err := 0, testsupport.Await(t, "the exit of the program", ended.done)
		if status := (*exec.ExitError)(nil); errors.As(err, &status) {
			got = status.ExitCode()
		}
		if got != c.want {
			t.Errorf("%v: exit status %d, want %d: %s", c.args, got, c.want, ended.output)
		}
	}
	p.stop(t)
	ended := start(t, nil, "console", "--config", config, "status")
	if status := (*exec.ExitError)(nil); !errors.As(testsupport.Await(t, "the exit", ended.done), &status) || status.ExitCode() != exitNotRunning {
		t.Errorf("console without an appliance: %s", ended.output)
	}
}
