package kit

import (
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Appliance writes the operator's file of deploy/ with other addresses and further replacements, old and new in turn, and
// returns its path.
func (c *Case) Appliance(listen, console string, replacements ...string) (path string) {
	text, err := os.ReadFile(filepath.Join(c.Root, "deploy", "appliance.toml"))
	c.Must(err, "operator's file")
	replacements = append([]string{"127.0.0.1:2022", listen, "/tmp/otterturn.sock", console}, replacements...)
	for i := 0; i < len(replacements); i += 2 {
		if !strings.Contains(string(text), replacements[i]) {
			c.Finish(NotRun, "the operator's file has no %q", replacements[i])
		}
		text = []byte(strings.Replace(string(text), replacements[i], replacements[i+1], 1))
	}
	path = filepath.Join(c.Temp, "appliance.toml")
	c.Must(os.WriteFile(path, text, 0o600), "operator's file")
	return path
}

// StartAppliance starts an appliance and waits until it answers its console.
func (c *Case) StartAppliance(name, config string) *Front {
	f := c.Start(name, "exec bin/otterturn serve --config "+config, "TMPDIR="+c.Temp)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && !f.Ended(); time.Sleep(20 * time.Millisecond) {
		if _, err := c.Console(config, "status"); err == nil {
			return f
		}
	}
	c.Finish(NotRun, "the appliance did not start")
	return nil
}
