package testsupport

import "testing"

// Guards against a listener that takes the port that the same test has closed for a program to open: the program then failed to
// start with "address already in use".
func TestListenReturnsEachPortOnceInATest(t *testing.T) {
	const ports = 1000
	seen := map[string]bool{}
	for range ports {
		l := Listen(t)
		addr := l.Addr().String()
		if seen[addr] {
			t.Fatalf("%s was returned twice", addr)
		}
		seen[addr] = true
		l.Close()
	}
}
