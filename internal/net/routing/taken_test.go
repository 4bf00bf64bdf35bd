package routing

import (
	"fmt"
	"testing"

	"otterturn/scheduler"
)

// Ids are remembered for the retention time, forgotten afterwards, and take bounded memory.
func TestIdsAreRememberedForAWhile(t *testing.T) {
	const keep, most = scheduler.Micros(1000), 100
	ids := newIDHistory(keep, most)
	for now := scheduler.Micros(0); now < 20*keep; now += 20 {
		ids.add(now, fmt.Sprint(now))
		if now >= keep && !ids.has(fmt.Sprint(now-keep)) {
			t.Fatalf("at %d the id added at %d is already forgotten", now, now-keep)
		}
		if old := now - 2*keep - 60; old >= 0 && ids.has(fmt.Sprint(old)) {
			t.Fatalf("at %d the id added at %d is still remembered", now, old)
		}
	}
	for i := range 10 * most {
		if ids.add(30*keep, fmt.Sprint("flood-", i)); len(ids.recent)+len(ids.older) > 2*most {
			t.Fatalf("%d ids remembered after a flood of ids, more than the bound", len(ids.recent)+len(ids.older))
		}
	}
}
