package program

import (
	"strings"
	"testing"
)

func TestParseCommand(t *testing.T) {
	for line, want := range map[string]command{
		"status": {Plain: "status"}, "  drain  node-a ": {Node: &nodeCommand{"drain", "node-a"}},
		"renew all": {Cert: &certCommand{"renew", "all"}}, "forget all": {Forget: &forgetCommand{Kind: "all"}},
		"forget node all": {Forget: &forgetCommand{One: "node", Name: "all"}}, "unsettled": {Plain: "unsettled"},
		"settle all": {Settle: &settleCommand{All: true}}, "settle node all": {Settle: &settleCommand{Node: "all"}},
		"settle change 17": {Settle: &settleCommand{Number: 17}},
	} {
		got, err := parseCommand(line)
		if err != nil || got.Plain != want.Plain || (got.Node == nil) != (want.Node == nil) || got.Node != nil && *got.Node != *want.Node ||
			got.Cert != nil && *got.Cert != *want.Cert || got.Forget != nil && *got.Forget != *want.Forget ||
			(got.Settle == nil) != (want.Settle == nil) || got.Settle != nil && *got.Settle != *want.Settle {
			t.Errorf("line %q: parsed as %+v, error %v", line, got, err)
		}
	}
	for line, want := range map[string]string{
		"drain": "column 6", "status now": "column 8", "dran node-a": "column 1", "forget nobody x": "column 8",
		"forget node": "column 12", "drain a b": "column 9", "settle": "column 7", "settle change": "column 14", "settle change x": "column 14",
	} {
		if _, err := parseCommand(line); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("line %q: error %v, want one that starts with %q", line, err, want)
		}
	}
}
