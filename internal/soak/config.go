package soak

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"otterturn/internal/soak/audit"
	"otterturn/internal/soak/peers"
)

// platformClasses are the request classes of the platform's fronts.
var platformClasses = []peers.Class{
	{Name: "read", Idempotency: audit.Repeatable},
	{Name: "save", Idempotency: audit.Keyed, Write: true, Key: true},
	{Name: "move", Idempotency: audit.Once, Write: true},
}

// applianceClasses are the request classes of an appliance.
var applianceClasses = []peers.Class{
	{Name: "read", Idempotency: audit.Repeatable},
	{Name: "write", Idempotency: audit.Keyed, Write: true, Key: true},
	{Name: "bulk-read", Idempotency: audit.Repeatable},
}

type object map[string]any

// platformConfig returns the configuration file of a front of the platform.
func (s Scenario) platformConfig(addr, control, discovery string, list peers.List, longest time.Duration) []byte {
	aim := min(longest/2, 300*time.Millisecond).Microseconds()
	class := func(name, semantics string, extra object) object {
		out := object{"name": name, "aimUs": aim, "giveUpUs": longest.Microseconds(), "semantics": semantics, "credit": 1, "group": "", "windowUs": nil}
		for k, v := range extra {
			out[k] = v
		}
		return out
	}
	report := object{"how": "off"}
	if s.Probing {
		report = object{"how": "on_probe", "fields": []string{"backlog", "outstanding"}}
	}
	text, err := json.Marshal(object{
		"name": "n", "listen": addr, "control": control, "discovery": discovery, "seed": fmt.Sprintf("%016x", s.Seed),
		"limits": object{"cores": 1.0, "memory_mb": s.MemoryMB, "sockets": 1024}, "peers": []string{}, "known": list,
		"settings": object{
			"balancers": 1, "tickUs": 2000, "zones": []string{"a"},
			"ceilings": object{
				"connIdleUs": s.ConnIdle.Microseconds(), "connectTimeoutUs": s.Connect.Microseconds(), "maxOpen": 400, "tryLimit": 4,
				"probing": s.Probing, "retryAfter": true, "maxRetryAfterUs": 500000,
			},
			"classes": []object{
				class("read", "retryable", nil),
				class("save", "dedup", object{"group": "cell", "windowUs": s.Window.Microseconds()}),
				class("move", "fragile", nil),
			},
			"contracts":  []object{{"name": "gold", "shares": 1}},
			"familyInfo": object{"meanUnits": 2, "mostUnits": 6, "shards": shardCount, "classWrites": []bool{false, true, true}},
			"report":     report,
			"safety":     object{"drainGraceUs": 500000},
		},
	})
	if err != nil {
		panic(err) // plain values always encode
	}
	return text
}

// applianceConfig returns the configuration file of an appliance.
func (s Scenario) applianceConfig(http, sftp, folder, console string, nodes []*peers.Node, files *peers.FileServer) []byte {
	var out strings.Builder
	fmt.Fprintf(
		&out, "[limits]\nmemory_mb = %d\nsockets = 1024\nopen = 256\ntries = 4\nconnect = %q\nnode_idle = %q\nretry_after = \"500ms\"\n",
		s.MemoryMB, s.Connect, s.ConnIdle,
	)
	changes := filepath.Join(filepath.Dir(folder), "changes.db")
	fmt.Fprintf(&out, "[sftp]\nlisten = %q\nchanges = %q\nunit_bytes = 16384\nbulk_bytes = 32768\n", sftp, changes)
	fmt.Fprintf(&out, "[http]\nlisten = %q\n[console]\nsocket = %q\n", http, console)
	fmt.Fprintf(&out, "[learned]\nfolder = %q\nfront = \"files-1\"\ninterval = \"500ms\"\nlease = \"500ms\"\n", folder)
	within := min(s.Longest/2, 300*time.Millisecond)
	for _, class := range applianceClasses {
		fmt.Fprintf(&out, "[classes.%s]\nwithin = %q\nwait = %q\nworth = 1.0\n", class.Name, within, s.Longest)
		if class.Key {
			fmt.Fprintf(&out, "repeat = \"keyed\"\nwindow = %q\n", s.Window)
		}
	}
	out.WriteString("[[plans]]\nname = \"gold\"\nweight = 1.0\n[[projects]]\nname = \"riverside\"\nprefix = \"/riverside\"\nplan = \"gold\"\nshard = 0\n")
	for i, n := range nodes {
		fmt.Fprintf(&out, "[[nodes]]\nname = %q\nsftp = %q\nhttp = %q\nshard = %d\n", n.Name, files.Addr, n.Addr, i%shardCount)
	}
	return []byte(out.String())
}
