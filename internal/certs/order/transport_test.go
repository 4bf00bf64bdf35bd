package order

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"otterturn/internal/certs/certstore"
	"otterturn/internal/certs/plan"
	"otterturn/internal/testsupport"
)

// Guards against an appliance that exceeds its memory limit because an answer of an authority does not end. The ACME library reads
// JSON values and error answers without a limit, and an error answer became part of the log and of the console's output.
func TestEndlessAnswerOfAuthorityEndsTry(t *testing.T) {
	const maxTestBytes = 64 * maxAnswerBytes // far above the limit and all buffers of the kernel
	for status, want := range map[int]plan.Kind{http.StatusOK: plan.MalformedAnswer, http.StatusInternalServerError: plan.ServerError} {
		closed := make(chan bool, 1)
		authority := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, err := io.WriteString(w, `{"newNonce":"`)
			piece := strings.Repeat("x", 32<<10)
			for sent := 0; err == nil && sent < maxTestBytes; sent += len(piece) {
				_, err = io.WriteString(w, piece)
			}
			closed <- err != nil
		}))
		defer authority.Close()
		store, err := certstore.Open(filepath.Join(t.TempDir(), "acme"))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), testsupport.WaitTimeout)
		defer cancel()
		_, err = New(Authority{Name: "a", Directory: authority.URL}, store).Obtain(ctx, "files", []string{"files.example"}, 0, nil, false)
		if !testsupport.Await(t, "the end of the answer", closed) {
			t.Errorf("status %d: all %d bytes were read", status, maxTestBytes)
		}
		if got := Outcome(err); got.Kind != want || len(got.Detail) > maxDetailBytes+len("...") {
			t.Errorf("status %d: outcome %v with a detail of %d bytes, want %v", status, got.Kind, len(got.Detail), want)
		}
	}
}
