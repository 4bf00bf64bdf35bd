package protocol

import (
	"fmt"
	"strconv"
	"strings"
)

// ParseLoad returns the length of the queue in a load report such as "TEXT inflight=7, queue=2, util=0.61". The settings give the
// name of the field.
func ParseLoad(text, field string) (queue float64, err error) {
	fields, ok := strings.CutPrefix(strings.TrimSpace(text), "TEXT ")
	if !ok {
		return 0, fmt.Errorf("load report: prefix TEXT is missing")
	}
	for pair := range strings.SplitSeq(fields, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if name != field {
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || !(n >= 0 && n < 1e6) {
			return 0, fmt.Errorf("load report: %s %q is not a number in range", field, value)
		}
		return n, nil
	}
	return 0, fmt.Errorf("load report: no %s in %q", field, text)
}
