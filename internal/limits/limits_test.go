package limits

import "testing"

// On a busy day one front held 507 descriptors, nearly all of them clients' whose requests were held: half of the
// sockets for clients would soon not have been enough, and all bounds together must stay within what there is.
func TestSocketsAreShared(t *testing.T) {
	l := For(Site{MemoryMB: 192, Sockets: 1024, Open: 10_000})
	if sum := l.ClientConns + l.SpareConns + l.NodeConns + reserved; sum > 1024 {
		t.Errorf("%d sockets in all", sum)
	}
	if l.ClientConns < 600 || l.NodeConns < 200 || l.Open != l.ClientConns {
		t.Errorf("clients %d, nodes %d, open %d", l.ClientConns, l.NodeConns, l.Open)
	}
	if bodies := 2 * int64(l.ClientConns) * l.Body; bodies > l.Memory {
		t.Errorf("bodies of %d bytes in %d", bodies, l.Memory)
	}
}
