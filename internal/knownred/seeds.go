package knownred

import (
	"strconv"
	"strings"
)

// seedPrefix begins the entry of a seed of the soak test, which is followed by its number.
const seedPrefix = "ottersoak seed "

// Seeds returns the seeds of the soak test that are known to break a rule, with the rest of their entries. Their entries have the form
// 'ottersoak seed N: command and seed; what was seen; issue N'. Invalid entries are left out; Evaluate reports them.
func Seeds(list string) map[int]string {
	seeds := map[int]string{}
	known, _ := parse(list)
	for name, why := range known {
		if seed, ok := seedOf(name); ok {
			seeds[seed] = why
		}
	}
	return seeds
}

// seedOf returns the seed that an entry names.
func seedOf(name string) (seed int, ok bool) {
	number, isSeed := strings.CutPrefix(name, seedPrefix)
	seed, err := strconv.Atoi(number)
	return seed, isSeed && err == nil && seed >= 0
}
