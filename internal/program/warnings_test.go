package program

import (
	"strings"
	"testing"
)

// Guards against settings that promise what SFTP can't keep without a word: repeats by key, and order across a restart.
func TestSettingsThatSFTPCannotKeepAreWarnedOf(t *testing.T) {
	operator, err := LoadOperator("../../deploy/appliance.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		edit func(o *Operator)
		want []string
	}{
		{"as it is", func(*Operator) {}, []string{"sftp.changes", "classes.write.repeat"}},
		{"with a file of changes", func(o *Operator) { o.SFTP.Changes = "changes.db" }, []string{"classes.write.repeat"}},
		{"with HTTP", func(o *Operator) { o.HTTP.Listen = "127.0.0.1:1" }, []string{"sftp.changes"}},
		{"HTTP alone", func(o *Operator) { o.SFTP.Listen, o.HTTP.Listen = "", "127.0.0.1:1" }, nil},
	} {
		changed := operator
		c.edit(&changed)
		got := changed.Warnings()
		if len(got) != len(c.want) {
			t.Fatalf("%s: warnings %q, want of %q", c.name, got, c.want)
		}
		for i, field := range c.want {
			if !strings.HasPrefix(got[i], field+":") {
				t.Errorf("%s: warning %q, want of %s", c.name, got[i], field)
			}
		}
	}
}
