package transport

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"otterturn/internal/net/protocol"
)

// encodeForNow encodes a request with the time that its client has left now. Opening a connection may take long, and a node
// that receives an earlier value would work for longer than the client waits.
func encodeForNow(ctx context.Context, r *http.Request, body []byte) (message net.Buffers) {
	if deadline, ok := ctx.Deadline(); ok {
		protocol.SetTimeLeft(r.Header, time.Until(deadline))
	}
	return encode(r, body)
}

// maxCopiedBody is the size in bytes up to which a body is sent in one write with its head.
const maxCopiedBody = 2 << 10

// encode encodes a request. A longer body is not copied.
func encode(r *http.Request, body []byte) net.Buffers {
	var message bytes.Buffer
	r.ContentLength = int64(len(body))
	writeHead(&message, r)
	if len(body) <= maxCopiedBody {
		message.Write(body)
		return net.Buffers{message.Bytes()}
	}
	return net.Buffers{message.Bytes(), body}
}

// writeHead writes the head of a request whose ContentLength is below 0 for a chunked body.
func writeHead(out *bytes.Buffer, r *http.Request) {
	fmt.Fprintf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URL.RequestURI(), r.Host)
	r.Header.Write(out)
	switch {
	case r.ContentLength < 0:
		out.WriteString("Transfer-Encoding: chunked\r\n")
	case r.ContentLength > 0 || r.Method == http.MethodPut:
		fmt.Fprintf(out, "Content-Length: %d\r\n", r.ContentLength)
	}
	out.WriteString("\r\n")
}
