package scheduler_test

import (
	"encoding/hex"
	"testing"
)

// digestEvents is the number of events in the schedule of TestActionsDigest.
const digestEvents = 100_000

// actionsDigest is the digest of the scheduler's actions for that schedule. It may change only with an intended change of
// a decision, which the commit that changes the digest explains.
const actionsDigest = "88cb3e526a9695d3"

// TestActionsDigest checks that the same events lead to the same actions: refactoring must not change a decision.
func TestActionsDigest(t *testing.T) {
	sim := newDigestSimulation(t)
	for sim.events < digestEvents {
		sim.advance()
	}
	if got := hex.EncodeToString(sim.digest.Sum(nil)); got != actionsDigest {
		t.Errorf("digest %s over %d events and %d actions, want %s", got, sim.events, sim.actions, actionsDigest)
	}
	for kind := range kindCount {
		if sim.kinds[kind] == 0 {
			t.Errorf("no action of kind %d occurred", kind)
		}
	}
}
