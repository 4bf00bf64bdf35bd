package scheduler_test

import (
	"os"
	"path/filepath"
	"testing"

	"otterturn/internal/lab/record"
	"otterturn/scheduler"
)

// The recordings contain the events of days with failures and the decisions of a scheduler that scanned all nodes and
// flows in every step. The present scheduler must make the same decisions in each step. OTTERTURN_RECORD=1 records again,
// after an intended change of decisions.
func TestDecidesAsRecorded(t *testing.T) {
	for name := range record.Streams {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			path := filepath.Join("testdata", name+".cbor.gz")
			if os.Getenv("OTTERTURN_RECORD") != "" {
				s, err := record.Make(name)
				if err != nil {
					t.Fatal(err)
				}
				f, err := os.Create(path)
				if err != nil {
					t.Fatal(err)
				}
				defer f.Close()
				if err := record.Write(f, s); err != nil {
					t.Fatal(err)
				}
				return
			}
			f, err := os.Open(path)
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			s, err := record.Read(f)
			if err != nil {
				t.Fatal(err)
			}
			to, err := scheduler.New(s.Settings, s.Seed)
			if err != nil {
				t.Fatal(err)
			}
			if step, actions := s.Replay(to); step >= 0 {
				t.Errorf("step %d of %d, at %d: other actions than recorded after %+v: %v", step, len(s.Steps), s.Steps[step].Now, s.Steps[step].Events, actions)
			}
			if len(s.Steps) < 1000 {
				t.Errorf("recording has %d steps, want at least 1000", len(s.Steps))
			}
		})
	}
}
