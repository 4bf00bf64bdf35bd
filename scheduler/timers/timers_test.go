package timers

import (
	"math/rand/v2"
	"testing"
)

func TestTimersGoOffOnceAtTheirTime(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var ts Timers[int64, int]
	var all [50]Timer[int64, int]
	var at [50]int64 // 0 for none
	for now := int64(1); now < 20_000; now++ {
		i := rng.IntN(len(all))
		all[i].Member = i
		if rng.IntN(4) == 0 {
			ts.Stop(&all[i])
			at[i] = 0
		} else {
			at[i] = now + rng.Int64N(100)
			ts.Set(&all[i], at[i])
		}
		for m, ok := ts.Due(now); ok; m, ok = ts.Due(now) {
			if at[m] == 0 || at[m] > now {
				t.Fatalf("timer %d fired at %d, want %d (0 for not set)", m, now, at[m])
			}
			at[m] = 0
		}
		for m, a := range at {
			if a > 0 && a <= now {
				t.Fatalf("timer %d was due at %d and has not fired at %d", m, a, now)
			}
		}
	}
}
