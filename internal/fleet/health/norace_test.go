//go:build !race

package health

// raceEnabled is true under the race detector. It makes tests about ten times slower, so long tests then run fewer cases.
const raceEnabled = false
