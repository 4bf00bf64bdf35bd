package routing

import (
	"fmt"
	"testing"

	"otterturn/scheduler"
)

// Ids are remembered for the retention time, forgotten afterwards, and take bounded memory.
func TestIDHistoryForgetsAfterRetention(t *testing.T) {
	const retention, maxRecent = scheduler.Micros(1000), 100
	ids := newIDHistory(retention, maxRecent)
	for now := scheduler.Micros(0); now < 20*retention; now += 20 {
		ids.add(now, fmt.Sprint(now))
		if now >= retention && !ids.contains(fmt.Sprint(now-retention)) {
			t.Fatalf("at %d the id added at %d is already forgotten", now, now-retention)
		}
		if old := now - 2*retention - 60; old >= 0 && ids.contains(fmt.Sprint(old)) {
			t.Fatalf("at %d the id added at %d is still remembered", now, old)
		}
	}
	for i := range 10 * maxRecent {
		if ids.add(30*retention, fmt.Sprint("flood-", i)); len(ids.recent)+len(ids.older) > 2*maxRecent {
			t.Fatalf("%d ids remembered after a flood of ids, more than the bound", len(ids.recent)+len(ids.older))
		}
	}
}
