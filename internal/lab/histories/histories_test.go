package histories

import (
	"io"
	"testing"
)

// The invariant of package plan over many histories: no avoidable expiry and no try over a limit.
func TestNoAvoidableExpiry(t *testing.T) {
	const histories = 1500 // 'make histories' runs 10,000
	got, err := Report(io.Discard, histories)
	if err != nil || got.Avoidable > 0 || got.OverLimit > 0 {
		t.Errorf("%v, error %v", got, err)
	}
	if got.Expiries == 0 || got.Renewals < histories {
		t.Errorf("%v: too few renewals or expiries for a conclusion", got)
	}
}
