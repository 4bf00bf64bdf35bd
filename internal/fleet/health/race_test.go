//go:build race

package health

// underRace tells that the race detector makes everything some ten times slower: long tests play a part of their cases.
const underRace = true
