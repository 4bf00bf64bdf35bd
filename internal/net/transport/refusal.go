package transport

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"otterturn/internal/net/protocol"
)

// answerSurplus refuses the requests that were dropped, in the place of net/http. While one of them is incomplete it reads and drops its rest.
func (c *clientConn) answerSurplus(p []byte) error {
	switch s := c.surplus; {
	case s.refusals > 0:
		return c.refuse()
	case s.err != nil:
		return c.reject(s.err)
	case !s.partial:
		c.clients.endSurplus(c)
		return nil
	}
	c.clients.requestProgressed(c, 0)
	n, err := c.Conn.Read(p)
	c.recordReadError(err)
	dropped := c.surplus.dropOne(p[:n])
	if c.surplus.refusals > 0 { // its refusal precedes the answers to what came behind it
		if err := c.refuse(); err != nil {
			return err
		}
		c.bufferAhead(p[dropped:n])
		c.clients.endSurplus(c)
	}
	if c.resumeRead(err) {
		return nil
	}
	return err
}

// refusalBatch is how many refusals are written at once.
const refusalBatch = 64

// refuse writes refusals for requests that were dropped.
func (c *clientConn) refuse() error {
	n := min(c.surplus.refusals, refusalBatch)
	c.Conn.SetWriteDeadline(time.Now().Add(c.clients.limits.Clients.WriteTimeout))
	defer c.Conn.SetWriteDeadline(time.Time{})
	c.surplus.refusals -= n
	_, err := c.Write(bytes.Repeat(c.clients.refusal(), n))
	return err
}

// refusal returns an answer that refuses a request of any kind and lets the connection go on.
func (f *Front) refusal() []byte {
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	protocol.SetRetryAfter(header, f.settings.Load().MaxRetryAfter)
	const text = "refused\n"
	var answer bytes.Buffer
	fmt.Fprintf(&answer, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable), len(text))
	header.Write(&answer)
	fmt.Fprintf(&answer, "\r\n%s", text)
	return answer.Bytes()
}

// endSurplus marks that the requests beyond the read-ahead are answered, and that the connection is idle unless more has arrived.
func (s *clientConns) endSurplus(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.surplus = nil
	c.hasInput.Store(len(c.readAhead) > 0)
	c.stage, c.stageSince = stageIdle, time.Now()
	s.notifyChanged()
}
