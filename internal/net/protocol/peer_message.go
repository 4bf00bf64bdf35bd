package protocol

import (
	"fmt"
	"strconv"
	"strings"

	"otterturn/scheduler"
)

// MaxPeerMessageBytes is the maximum size of a message between fronts, in bytes.
const MaxPeerMessageBytes = 256

// A message between fronts consists of words separated by single spaces. The first word is its kind. The fields of kindAsk are the
// units of the next request, the units of the smallest one, the units answered since the last report, the units answered with a
// measured latency, the sum of these latencies in spans, the node's start as Unix time in microseconds, and the node. Those of
// kindGrant are the units, the end of their validity as Unix time in microseconds, and the node.
const (
	kindAsk   = "ask"   // requests capacity of a node and reports what it has served
	kindGrant = "grant" // grants capacity of a node
)

// FormatPeerMessage encodes an action as a message to another front. It returns nil if the action is not for another front, or if the
// message is too long.
func FormatPeerMessage(a scheduler.Action) []byte {
	var text []byte
	switch a := a.(type) {
	case scheduler.RequestCapacity:
		text = fmt.Appendf(nil, "%s %s %s %s %s %s %d %s", kindAsk, formatUnits(a.Units), formatUnits(a.MinUnits),
			formatUnits(a.Report.Served), formatUnits(a.Report.Units), formatUnits(a.Report.Time), a.StartedAt, a.Node)
	case scheduler.GrantCapacity:
		text = fmt.Appendf(nil, "%s %s %d %s", kindGrant, formatUnits(a.Units), a.ValidUntil, a.Node)
	}
	if len(text) > MaxPeerMessageBytes {
		return nil
	}
	return text
}

// ParsePeerMessage parses a message from the front with index from. A message with any invalid field is rejected.
func ParsePeerMessage(from int, text []byte) (scheduler.Event, error) {
	words := strings.Split(string(text), " ")
	switch {
	case words[0] == kindAsk && len(words) == 8:
		e := scheduler.CapacityRequested{From: from, Node: words[7]}
		for i, value := range []*float64{&e.Units, &e.MinUnits, &e.Report.Served, &e.Report.Units, &e.Report.Time} {
			units, err := parseUnits(words[i+1])
			if err != nil {
				return nil, fmt.Errorf("peer message: ask: %w", err)
			}
			*value = units
		}
		startedAt, err := parseTime("since", words[6], 0)
		if err != nil {
			return nil, fmt.Errorf("peer message: ask: %w", err)
		}
		e.StartedAt = startedAt
		return e, nil
	case words[0] == kindGrant && len(words) == 4:
		units, err := parseUnits(words[1])
		if err != nil {
			return nil, fmt.Errorf("peer message: grant: %w", err)
		}
		validUntil, err := parseTime("until", words[2], 1)
		if err != nil {
			return nil, fmt.Errorf("peer message: grant: %w", err)
		}
		return scheduler.CapacityGranted{From: from, Node: words[3], Units: units, ValidUntil: validUntil}, nil
	}
	return nil, fmt.Errorf("peer message: %.40q is of no kind", text)
}

// parseTime parses a Unix time in microseconds that is not before earliest.
func parseTime(field, text string, earliest scheduler.Micros) (scheduler.Micros, error) {
	at, err := strconv.ParseInt(text, 10, 64)
	if err != nil || scheduler.Micros(at) < earliest {
		return 0, fmt.Errorf("%s: %.40q is not a valid time", field, text)
	}
	return scheduler.Micros(at), nil
}

// formatUnits formats units without loss: a grant that is rounded down would be too small for its request.
func formatUnits(units float64) string { return strconv.FormatFloat(units, 'f', -1, 64) }

func parseUnits(text string) (float64, error) {
	units, err := strconv.ParseFloat(text, 64)
	if err != nil || !(units >= 0 && units < 1e6) {
		return 0, fmt.Errorf("units: %.40q is out of range", text)
	}
	return units, nil
}
