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
	"otterturn/internal/testsupport"
)

// parseTimeLeft parses the header that tells a node how long the front will wait.
func parseTimeLeft(t *testing.T, header string) time.Duration {
	t.Helper()
	left, err := time.ParseDuration(header + "s") // such as 400000u
	if err != nil {
		t.Fatalf("time left %q: %v", header, err)
	}
	return left
}

// Parameters of the tests below: how long the second of two requests waits for the first, and by how much the time in the
// header may exceed the time left after that wait.
const (
	secondWait    = 400 * time.Millisecond
	timeLeftSlack = 150 * time.Millisecond
)

// timeLeftOfDelayedRequest makes a second request, with 4 s left, wait for secondWait until the first one ends. It returns
// the header that tells the node the second request's time left.
func timeLeftOfDelayedRequest(t *testing.T, edit func(*limits.Limits), firstText, secondText string) (header string) {
	t.Helper()
	started, proceed, headers := make(chan struct{}), make(chan struct{}), make(chan string, 2)
	addr, _ := startNode(t, func(n int64, c net.Conn, r *http.Request) {
		headers <- r.Header.Get("X-Time-Left")
		if n == 1 {
			close(started)
			<-proceed
		}
		io.WriteString(c, served)
	})
	_, core, front := startFront(t, edit, addr)
	first, second := dialClient(t, front), dialClient(t, front)
	io.WriteString(first, firstText)
	testsupport.Await(t, "the first attempt to begin", started)
	io.WriteString(second, secondText)
	testsupport.WaitFor(t, "the second request to be open", func() bool { return core.Tally().Open == 2 })
	openedAt := time.Now()
	testsupport.WaitFor(t, "the wait of the second request to be over", func() bool { return time.Since(openedAt) > secondWait })
	close(proceed)
	if r, _ := second.roundTrip(t, ""); r.StatusCode != 200 {
		t.Errorf("second request: status %d", r.StatusCode)
	}
	testsupport.Await(t, "the first request's time", headers)
	return testsupport.Await(t, "the second request's time", headers)
}

// The only connection to the node is in use, so the second attempt waits for it as for one that takes long to open. The node
// must receive the time that the client has left when the request is written. It once received the time left when the
// scheduler decided on the attempt.
func TestTimeLeftIsSetWhenRequestIsWritten(t *testing.T) {
	oneConnection := func(l *limits.Limits) { l.Nodes.ReuseDelay, l.Nodes.Conns = 0, 1 }
	header := timeLeftOfDelayedRequest(t, oneConnection,
		fmt.Sprintf(requestHead, "first")+"\r\n", fmt.Sprintf(requestHead, "second")+"\r\n")
	if left := parseTimeLeft(t, header); left > 4*time.Second-secondWait+timeLeftSlack {
		t.Errorf("the header has %v left, %v after a request with 4 s", left, secondWait)
	}
}

// The head of a long request is sent to its node as the request arrives, and its end when the scheduler permits it. The time
// left in the head must still be true when the end is sent.
func TestLongRequestTellsItsNodeNoMoreThanItsClientHas(t *testing.T) {
	const length = 1 << 20
	full := strings.NewReplacer("units=2", "units=8") // one such request uses up the node's budget
	header := timeLeftOfDelayedRequest(t, func(l *limits.Limits) { l.Nodes.ReuseDelay = 0 },
		full.Replace(fmt.Sprintf(requestHead, "first"))+"\r\n", full.Replace(putHead("second", length))+strings.Repeat("x", length))
	if header == "" {
		return // the node receives no time
	}
	if left := parseTimeLeft(t, header); left > 4*time.Second-secondWait+timeLeftSlack {
		t.Errorf("the header has %v left, %v after the last byte of a request with 4 s", left, secondWait)
	}
}
