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

// timeLeft reads the header with which a node is told how long its front will wait.
func timeLeft(t *testing.T, header string) time.Duration {
	t.Helper()
	left, err := time.ParseDuration(header + "s") // such as 400000u
	if err != nil {
		t.Fatalf("time left %q: %v", header, err)
	}
	return left
}

// How long the second of two requests waits for the first in the tests below, and how much more than the time left then a node
// may be told.
const (
	heldFor   = 400 * time.Millisecond
	toldSlack = 150 * time.Millisecond
)

// toldBehindFirst has a second request, with 4 s, wait for the end of a first one for as long as heldFor. It returns the header with
// which the node is told the second one's time.
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
	standin.Await(t, "the first attempt", begun)
	io.WriteString(second, secondText)
	standin.Until(t, "the second request", func() bool { return core.Tally().Open == 2 })
	came := time.Now()
	standin.Until(t, "the time for which it is held", func() bool { return time.Since(came) > heldFor })
	close(goOn)
	if r, _ := second.ask(t, ""); r.StatusCode != 200 {
		t.Errorf("the second request: %d", r.StatusCode)
	}
	standin.Await(t, "the first request's time", told)
	return standin.Await(t, "the second request's time", told)
}

// The connection to the node is in use, so the second attempt waits for it as it would for one that comes up late. The node is
// told what the client has left as the request is written: it was told what was left when the attempt was decided on.
func TestNodeIsToldWhatIsLeftAsTheRequestIsWritten(t *testing.T) {
	oneConnection := func(l *limits.Limits) { l.Nodes.ReuseDelay, l.Nodes.Conns = 0, 1 }
	header := toldBehindFirst(t, oneConnection, fmt.Sprintf(request, "first")+"\r\n", fmt.Sprintf(request, "second")+"\r\n")
	if left := timeLeft(t, header); left > 4*time.Second-heldFor+toldSlack {
		t.Errorf("the node was told %v, %v after a request with 4 s", left, heldFor)
	}
}

// A long request's head goes to its node as the request comes, and its end once the scheduler lets it go. The time that the head
// tells has to hold for the end too.
func TestLongRequestTellsItsNodeNoMoreThanItsClientHas(t *testing.T) {
	const length = 1 << 20
	full := strings.NewReplacer("units=2", "units=8") // one such request fills the node's budget
	header := toldBehindFirst(t, func(l *limits.Limits) { l.Nodes.ReuseDelay = 0 },
		full.Replace(fmt.Sprintf(request, "first"))+"\r\n", full.Replace(put("second", length))+strings.Repeat("x", length))
	if header == "" {
		return // the node is told nothing
	}
	if left := timeLeft(t, header); left > 4*time.Second-heldFor+toldSlack {
		t.Errorf("the node was told %v, %v after the last byte of a request with 4 s", left, heldFor)
	}
}
