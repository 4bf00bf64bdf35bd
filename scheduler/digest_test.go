package scheduler_test

import (
	"encoding/hex"
	"testing"
)

// digestEvents is how many events the schedule of TestActionsDigest has.
const digestEvents = 100_000

// actionsDigest is the digest of the scheduler's actions over that schedule. It changes only where a decision is meant to
// change; the commit that changes it says why.
const actionsDigest = "88cb3e526a9695d3"

// TestActionsDigest holds the scheduler to the same actions for the same events: refactoring must not change a decision.
func TestActionsDigest(t *testing.T) {
	w := newDigestWorld(t)
	for w.events < digestEvents {
		w.advance()
	}
	if got := hex.EncodeToString(w.digest.Sum(nil)); got != actionsDigest {
		t.Errorf("digest %s over %d events and %d actions, want %s", got, w.events, w.actions, actionsDigest)
	}
	for kind := range digestKinds {
		if w.kinds[kind] == 0 {
			t.Errorf("the schedule brings no action of kind %d", kind)
		}
	}
}
