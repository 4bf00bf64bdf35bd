package hollow

import "otterturn/scheduler"

// Delays of the network, one way. The least must not be below a tick.
const (
	delayNear = 2 * millisecond  // within a region
	delayFar  = 12 * millisecond // between regions
)

// links is where actors stand, and which of them hear each other.
type links struct {
	zones, regions int
	zone           []int32  // of each actor
	apart          [][]bool // pairs of zones that don't hear each other
	blind          []bool   // fronts that reach no node, by number
}

func newLinks(zones, regions, fronts, actors int) links {
	l := links{zones: zones, regions: regions, zone: make([]int32, actors), blind: make([]bool, fronts)}
	for range zones {
		l.apart = append(l.apart, make([]bool, zones))
	}
	return l
}

func (l *links) region(actor int32) int32 { return l.regionOf(l.zone[actor]) }

func (l *links) regionOf(zone int32) int32 { return zone * int32(l.regions) / int32(l.zones) }

func (l *links) delay(from, to int32) scheduler.Micros {
	if l.region(from) == l.region(to) {
		return delayNear
	}
	return delayFar
}

// cut tells whether what one actor sends another is lost.
func (l *links) cut(from, to int32) bool {
	return l.apart[l.zone[from]][l.zone[to]] || l.blindTo(from, to) || l.blindTo(to, from)
}

// blindTo tells that a front which reaches no node is cut off from an actor: only other fronts hear it.
func (l *links) blindTo(front, other int32) bool {
	fronts := int32(len(l.blind))
	return front < fronts && l.blind[front] && other >= fronts
}

// part has two zones not hear each other, or hear each other again. A zone may be parted from itself.
func (l *links) part(a, b int, apart bool) { l.apart[a][b], l.apart[b][a] = apart, apart }

// partRegions parts all zones of one region from all those of others, or joins them.
func (l *links) partRegions(apart bool) {
	for a := range l.zones {
		for b := range l.zones {
			if l.regionOf(int32(a)) != l.regionOf(int32(b)) {
				l.part(a, b, apart)
			}
		}
	}
}

// silence parts a zone from all, itself included.
func (l *links) silence(zone int) {
	for other := range l.zones {
		l.part(zone, other, true)
	}
}
