package scenario

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"otterturn/scheduler"
)

const scenarioFolder = "../../../deploy/rehearsals"

// A short form of 'make rehearse': one day of each shipped scenario breaks no rule and makes no cold node fail by overload.
// The rolling deploy gives the same result when it is run again.
func TestShippedScenariosKeepTheRules(t *testing.T) {
	files, err := filepath.Glob(scenarioFolder + "/*.toml")
	if err != nil || len(files) < 6 {
		t.Fatalf("scenario files %v, want at least 6; error %v", files, err)
	}
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			t.Parallel()
			checkShipped(t, name)
		})
	}
}

func checkShipped(t *testing.T, name string) {
	s, err := Load(name)
	if err != nil {
		t.Fatal(err)
	}
	r, err := s.Play(1, CurrentScheduler)
	if err != nil || r.Fallen > 0 || len(r.Breaks) > 0 || r.Requests < 1000 || r.Share() < 0.5 {
		t.Errorf("%s: result %+v, error %v", s.Name, r, err)
	}
	if !strings.HasSuffix(name, "deploy.toml") {
		return
	}
	c, err := s.Compare(1, s.AllVariants()[:2])
	if err != nil {
		t.Fatal(err)
	}
	if again := c.Rows[0].Days[0]; again.Digest != r.Digest || again.Share() != r.Share() {
		t.Errorf("%s: two runs with the same seed differ: %+v and %+v", s.Name, r, again)
	}
	var out strings.Builder
	if err := c.Table(&out); err != nil || strings.Count(out.String(), "\n") < 5 {
		t.Errorf("table: error %v, output %s", err, &out)
	}
	var page, figures bytes.Buffer
	if err := errors.Join(Page(&page, []Comparison{c}), JSON(&figures, []Comparison{c})); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(page.String(), "<svg"); n != 2 || !strings.Contains(page.String(), string(scheduler.DeadlineUnreachable)) {
		t.Errorf("page has %d plots, want 2, or lacks the rejection reason; page:\n%.2000s", n, &page)
	}
	if !json.Valid(figures.Bytes()) {
		t.Error("comparison output is not valid JSON")
	}
}

func TestInvalidScenarioErrorNamesTheField(t *testing.T) {
	good, err := os.ReadFile(scenarioFolder + "/deploy.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, with, field string }{
		{`fronts = 3`, `fronts = 0`, "fronts"},
		{`fronts = 3`, `front = 3`, "front: unknown field"},
		{`length = "60s"`, `length = "60h"`, "length"},
		{`speed = [0.85, 1.7]`, `speed = [1.7, 0.85]`, "nodes.speed"},
		{`burst = 72.0`, `burst = 7.0`, "load"},
		{`what = "surge"`, `what = "storm"`, "happens[1].what"},
		{`share = 0.9`, `share = 1.9`, "happens[0].share"},
		{`at = "25s"`, `at = "61s"`, "happens[1].at"},
		{`[load]`, "[load]\nmix = \"60% read costs 20ms within 300ms waits 2s worth 2, 40% write cost 1ms\"", "load.mix: column 62"},
		{`[load]`, "[load]\nmix = \"60% read costs 20ms within 300ms waits 2s worth 2\"", "add up to 100%, not 60%"},
		{`[load]`, "[load]\ncaptured = \"none.csv\"", "load.captured"},
		{`times = 2.5`, ``, "happens[1].times"},
	} {
		name := filepath.Join(t.TempDir(), "s.toml")
		if err := os.WriteFile(name, []byte(strings.Replace(string(good), c.old, c.with, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(name); err == nil || !strings.Contains(err.Error(), c.field) {
			t.Errorf("%s instead of %s: error %v", c.with, c.old, err)
		}
	}
}

// A recorded load is read from a file, and errors name the invalid line.
func TestReadsCapturedLoad(t *testing.T) {
	folder := t.TempDir()
	load := func(captured string) (Scenario, error) {
		text, err := os.ReadFile("../../../deploy/rehearsals/calm.toml")
		if err != nil {
			t.Fatal(err)
		}
		name := filepath.Join(folder, "s.toml")
		text = bytes.Replace(text, []byte("[load]"), []byte("[load]\ncaptured = \"load.csv\""), 1)
		if err := errors.Join(os.WriteFile(name, text, 0o600), os.WriteFile(filepath.Join(folder, "load.csv"), []byte(captured), 0o600)); err != nil {
			t.Fatal(err)
		}
		return Load(name)
	}
	s, err := load("# ms, kind, project, units, shard\n1000,read,3,2,1\n1500.5,write,4,1,-1\n")
	if err != nil {
		t.Fatal(err)
	}
	if r, err := s.Play(1, CurrentScheduler); err != nil || r.Requests != 2 || r.Ended["served"] != 2 {
		t.Errorf("result %+v, error %v; want 2 requests served", r, err)
	}
	for _, c := range []struct{ text, want string }{
		{"1000,read,3,2,1\n900,read,3,2,1\n", "line 2: earlier"},
		{"1000,reed,3,2,1\n", "line 1: \"reed\" is not a kind"},
		{"1000,read,3,2,77\n", "line 1: project, units or shard"},
		{"x,read,3,2,1\n", "not a number"},
		{"", "EOF"},
	} {
		if _, err := load(c.text); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: error %v, want %q", c.text, err, c.want)
		}
	}
}

// Each kind of event changes the outcome of a day and breaks no rule, with all optional properties of clients and nodes on.
func TestEachKindOfEventChangesTheOutcome(t *testing.T) {
	s, err := Calm(4, 2, 10_000_000_000)
	if err != nil {
		t.Fatal(err)
	}
	s.Nodes.Halls, s.Nodes.Overfull, s.Nodes.PutOff, s.Nodes.PutFor, s.Nodes.Near, s.Nodes.Conns = 2, 0.5, 0.3, 2e9, 0.5, 50
	s.Nodes.Probe, s.Nodes.Connect = 1e6, 2e6
	s.Load.Pieces, s.Load.Recent, s.Load.Comes, s.Load.Heeds = 20, 0.2, 0.8, 0.7
	calm, err := s.Play(1, CurrentScheduler)
	if err != nil || !calm.keptRules() || calm.Share() < 0.9 {
		t.Fatalf("without events: result %+v, error %v", calm, err)
	}
	for what := range requiredFields {
		eventful := s
		eventful.Happens = []Event{{At: 3e9, What: what, Share: 0.5, Over: 3e9, Back: 2e9, For: 4e9, Times: 4, Projects: 2}}
		if err := eventful.validate(); err != nil {
			t.Error(err)
		}
		r, err := eventful.Play(1, CurrentScheduler)
		if err != nil || !r.keptRules() {
			t.Errorf("%s: error %v, broken rules %v, %d nodes failed by overload", what, err, r.Breaks, r.Fallen)
		}
		// Missing node lists alone change nothing, as the list stays the same.
		if what != "deaf" && r.Digest == calm.Digest {
			t.Errorf("%s: result equals the one without events", what)
		}
	}
}
