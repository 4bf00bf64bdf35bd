package scheduler_test

import (
	"os"
	"path/filepath"
	"testing"

	"otterturn/internal/lab/record"
	"otterturn/scheduler"
)

// The decisions are those of the scheduler that walked all nodes and flows in every step: what it decided on rough days
// was recorded, and is decided again, step by step. OTTERTURN_RECORD=1 records anew, once decisions change on purpose.
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
				t.Errorf("step %d of %d, at %d: after %+v it decides %v", step, len(s.Steps), s.Steps[step].Now, s.Steps[step].Events, actions)
			}
			if len(s.Steps) < 1000 {
				t.Errorf("only %d steps", len(s.Steps))
			}
		})
	}
}
