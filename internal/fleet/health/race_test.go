//go:build race

package health

// underRace is true under the race detector. It makes tests about ten times slower, so long tests then run fewer cases.
const underRace = true
