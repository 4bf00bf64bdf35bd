package expirymap

import (
	"math/rand/v2"
	"testing"
)

// Compares the map with a plain one of expiry times, and checks that repeated sweeps remove the expired entries.
func TestSweepRemovesExpiredEntries(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	m, expiry := New[int, int](), map[int]int{}
	for now := range 20_000 {
		key := rng.IntN(500)
		expired := func(k int) bool { return expiry[k] <= now }
		if expiresAt := expiry[key]; expiresAt > now != hasLive(m, key, expired) {
			t.Fatalf("at %d: presence of key %d is wrong, it expires at %d", now, key, expiresAt)
		}
		m.GetOrCreate(key, expired, func() int { return key })
		expiry[key] = now + 50 + rng.IntN(50)
		m.Sweep(2, expired)
		if m.Len() > 200 {
			t.Fatalf("%d entries, of which about 75 are live; want at most 200", m.Len())
		}
	}
	for range 10 {
		m.Sweep(100, func(int) bool { return true })
	}
	if m.Len() > 0 || len(m.byKey) > 0 {
		t.Errorf("%d entries after all expired, want 0 in the slice and in the index", m.Len())
	}
}

func hasLive(m Map[int, int], key int, expired func(int) bool) bool {
	v, found := m.Get(key)
	return found && !expired(v)
}
