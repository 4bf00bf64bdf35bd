package timers

import (
	"math/rand/v2"
	"testing"
)

func TestTimersFireOnceAtTheirTime(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var ts Timers[int64, int]
	var all [50]Timer[int64, int]
	var dueAt [50]int64 // 0 for none
	for now := int64(1); now < 20_000; now++ {
		i := rng.IntN(len(all))
		all[i].Member = i
		if rng.IntN(4) == 0 {
			ts.Stop(&all[i])
			dueAt[i] = 0
		} else {
			dueAt[i] = now + rng.Int64N(100)
			ts.Set(&all[i], dueAt[i])
		}
		for m, ok := ts.Due(now); ok; m, ok = ts.Due(now) {
			if dueAt[m] == 0 || dueAt[m] > now {
				t.Fatalf("timer %d fired at %d, want %d (0 for not set)", m, now, dueAt[m])
			}
			dueAt[m] = 0
		}
		for m, due := range dueAt {
			if due > 0 && due <= now {
				t.Fatalf("timer %d was due at %d and has not fired at %d", m, due, now)
			}
		}
	}
}
