package protocol

import (
	"strings"
	"testing"
)

// Lines of the zone's health come only where it is shared: who reads the others may refuse what it does not know.
func TestFiguresOfHealthOnlyWhereItIsShared(t *testing.T) {
	off := FormatFigures(Figures{Attempts: 5})
	if strings.Contains(off, "health") {
		t.Errorf("off: %s", off)
	}
	on := FormatFigures(Figures{Attempts: 5, Health: &HealthFigures{
		Probes: 1, MessagesSent: 2, BytesSent: 3, MessagesReceived: 4, Dropped: 5,
		Shed: 6, Lost: 7, Condemned: 8,
	}})
	want := "svc.health.probes:1|c\nsvc.health.messages_sent:2|c\nsvc.health.bytes_sent:3|c\nsvc.health.messages_received:4|c\n" +
		"svc.health.dropped:5|c\nsvc.health.shed:6|c\nsvc.health.lost:7|c\nsvc.health.condemned:8|g\n"
	if on != off+want {
		t.Errorf("on: %s", on)
	}
}
