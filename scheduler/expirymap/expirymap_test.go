package expirymap

import (
	"math/rand/v2"
	"testing"
)

// Compares the map with a plain one of expiry times, and checks that repeated sweeps remove the expired entries.
func TestTableForgetsWhatIsGone(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	table, until := New[int, int](), map[int]int{}
	for now := range 20_000 {
		key := rng.IntN(500)
		gone := func(k int) bool { return until[k] <= now }
		if was := until[key]; was > now != has(table, key, gone) {
			t.Fatalf("at %d: presence of key %d is wrong, it expires at %d", now, key, was)
		}
		table.GetOrCreate(key, gone, func() int { return key })
		until[key] = now + 50 + rng.IntN(50)
		table.Sweep(2, gone)
		if table.Len() > 200 {
			t.Fatalf("%d entries, of which about 75 are live; want at most 200", table.Len())
		}
	}
	for range 10 {
		table.Sweep(100, func(int) bool { return true })
	}
	if table.Len() > 0 || len(table.byKey) > 0 {
		t.Errorf("%d entries after all expired, want 0 in the slice and in the index", table.Len())
	}
}

func has(t Map[int, int], key int, gone func(int) bool) bool {
	v, there := t.Get(key)
	return there && !gone(v)
}
