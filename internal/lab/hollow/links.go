package hollow

import "otterturn/scheduler"

// One-way delays of the network. None may be below a tick.
const (
	delayNear = 2 * millisecond  // within a region
	delayFar  = 12 * millisecond // between regions
)

// links holds the zone of each actor and which of them can reach each other.
type links struct {
	zones, regions int
	zone           []int32  // of each actor
	apart          [][]bool // pairs of zones between which messages are lost
	blind          []bool   // by front: true if it reaches no node
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

// cut reports whether messages from one actor to another are lost.
func (l *links) cut(from, to int32) bool {
	return l.apart[l.zone[from]][l.zone[to]] || l.blindTo(from, to) || l.blindTo(to, from)
}

// blindTo reports whether front is a front that reaches no node, and other is not a front. Such a front still reaches
// other fronts.
func (l *links) blindTo(front, other int32) bool {
	fronts := int32(len(l.blind))
	return front < fronts && l.blind[front] && other >= fronts
}

// part cuts the links between two zones, or restores them. Both may be the same zone: then it cuts the links within it.
func (l *links) part(a, b int, apart bool) { l.apart[a][b], l.apart[b][a] = apart, apart }

// partRegions cuts the links between zones of different regions, or restores them.
func (l *links) partRegions(apart bool) {
	for a := range l.zones {
		for b := range l.zones {
			if l.regionOf(int32(a)) != l.regionOf(int32(b)) {
				l.part(a, b, apart)
			}
		}
	}
}

// silence cuts a zone's links to all zones, also those within it.
func (l *links) silence(zone int) {
	for other := range l.zones {
		l.part(zone, other, true)
	}
}
