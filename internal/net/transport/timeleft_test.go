package transport

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"otterturn/internal/limits"
	"otterturn/internal/standin"
)

// timeLeft parses the header that tells a node how long the front will wait.
func timeLeft(t *testing.T, header string) time.Duration {
	t.Helper()
	left, err := time.ParseDuration(header + "s") // such as 400000u
	if err != nil {
		t.Fatalf("time left %q: %v", header, err)
	}
	return left
}

// Parameters of the tests below: how long the second of two requests waits for the first, and by how much the time that a
// node is told may exceed the time left after that wait.
const (
	heldFor   = 400 * time.Millisecond
	toldSlack = 150 * time.Millisecond
)

// toldBehindFirst makes a second request, with 4 s left, wait for heldFor until the first one ends. It returns the header
// that tells the node the second request's time left.
func toldBehindFirst(t *testing.T, edit func(*limits.Limits), firstText, secondText string) (header string) {
	t.Helper()
	begun, goOn, told := make(chan struct{}), make(chan struct{}), make(chan string, 2)
	addr, _ := newNode(t, func(n int64, c net.Conn, r *http.Request) {
		told <- r.Header.Get("X-Time-Left")
		if n == 1 {
			close(begun)
			<-goOn
		}
		io.WriteString(c, served)
	})
	_, core, front := newFront(t, edit, addr)
	first, second := dial(t, front), dial(t, front)
	io.WriteString(first, firstText)
	standin.Await(t, "the first attempt to begin", begun)
	io.WriteString(second, secondText)
	standin.Until(t, "the second request to be open", func() bool { return core.Tally().Open == 2 })
	came := time.Now()
	standin.Until(t, "the wait of the second request to be over", func() bool { return time.Since(came) > heldFor })
	close(goOn)
	if r, _ := second.ask(t, ""); r.StatusCode != 200 {
		t.Errorf("second request: status %d", r.StatusCode)
	}
	standin.Await(t, "the first request's time", told)
	return standin.Await(t, "the second request's time", told)
}

// The only connection to the node is in use, so the second attempt waits for it as for one that takes long to open. The node
// is told the time that the client has left when the request is written. It was once told the time left when the attempt was
// decided.
func TestNodeIsToldWhatIsLeftAsTheRequestIsWritten(t *testing.T) {
	oneConnection := func(l *limits.Limits) { l.Nodes.ReuseDelay, l.Nodes.Conns = 0, 1 }
	header := toldBehindFirst(t, oneConnection, fmt.Sprintf(request, "first")+"\r\n", fmt.Sprintf(request, "second")+"\r\n")
	if left := timeLeft(t, header); left > 4*time.Second-heldFor+toldSlack {
		t.Errorf("the node was told %v left, %v after a request with 4 s", left, heldFor)
	}
}

// The head of a long request is sent to its node as the request arrives, and its end when the scheduler permits it. The time
// left in the head must still be true when the end is sent.
func TestLongRequestTellsItsNodeNoMoreThanItsClientHas(t *testing.T) {
	const length = 1 << 20
	full := strings.NewReplacer("units=2", "units=8") // one such request uses up the node's budget
	header := toldBehindFirst(t, func(l *limits.Limits) { l.Nodes.ReuseDelay = 0 },
		full.Replace(fmt.Sprintf(request, "first"))+"\r\n", full.Replace(put("second", length))+strings.Repeat("x", length))
	if header == "" {
		return // the node is told no time
	}
	if left := timeLeft(t, header); left > 4*time.Second-heldFor+toldSlack {
		t.Errorf("the node was told %v left, %v after the last byte of a request with 4 s", left, heldFor)
	}
}
