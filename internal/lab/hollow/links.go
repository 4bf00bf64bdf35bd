package hollow

import "otterturn/rules"

// Delays of the network, one way. The least must not be below a tick.
const (
	delayNear = 2 * millisecond  // within a region
	delayFar  = 12 * millisecond // between regions
)

// links is where actors stand, and which of them hear each other.
type links struct {
	zones, regions int
	zone           []int32 // of each actor
	regionsCut     bool    // regions don't hear each other
	gone           []bool  // zones that nobody hears, nor they anybody
}

func (l *links) region(actor int32) int32 { return l.regionOf(l.zone[actor]) }

func (l *links) regionOf(zone int32) int32 { return zone * int32(l.regions) / int32(l.zones) }

func (l *links) delay(from, to int32) rules.Micros {
	if l.region(from) == l.region(to) {
		return delayNear
	}
	return delayFar
}

func (l *links) cut(from, to int32) bool {
	return l.regionsCut && l.region(from) != l.region(to) || l.gone[l.zone[from]] || l.gone[l.zone[to]]
}
