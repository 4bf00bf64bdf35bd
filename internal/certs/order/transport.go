package order

import (
	"crypto/tls"
	"net/http"
	"time"
)

// Bounds on the answers of an authority. The largest ones are certificate chains of some 10 KiB.
const (
	maxAnswerBytes       = 1 << 20  // of a body
	maxAnswerHeaderBytes = 64 << 10 // of a header, with the informational ones before it
	maxInfoBytes         = 1 << 16  // of a directory or of renewal information
	maxDetailBytes       = 1 << 10  // of the part of an error text that is kept and logged
)

const idleTimeout = 30 * time.Second // after which a connection to an authority is closed

// boundedTransport limits the body of each answer. The ACME library reads JSON values and error answers without a limit of its
// own, so an answer that never ends would use up the memory of the process. Its time is bounded by the request's context.
type boundedTransport struct{ http.RoundTripper }

func newTransport(config *tls.Config) http.RoundTripper {
	return boundedTransport{&http.Transport{
		TLSClientConfig: config, MaxIdleConns: 2, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}}
}

// RoundTrip sends a request. Reading more than maxAnswerBytes of the answer's body fails with an http.MaxBytesError.
func (t boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, maxAnswerBytes)
	return resp, nil
}
