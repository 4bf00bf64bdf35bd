package hollow

import "testing"

// The same seed has the same digest, whatever the number of workers; another one has another.
func TestSameSeedSameDigest(t *testing.T) {
	digests := map[uint64]int{}
	for _, workers := range []int{1, 4} {
		for seed := range uint64(2) {
			set := Default(30)
			set.Workers, set.Seed = workers, seed
			results, err := Run(set, Events[1])
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("seed %d, %d workers: %x", seed, workers, results[0].Digest)
			digests[results[0].Digest]++
		}
	}
	if len(digests) != 2 {
		t.Errorf("two seeds, each with 1 and 4 workers, have %d digests", len(digests))
	}
}
