package hollow

import "otterturn/scheduler"

// One-way delays of the network. None may be below a tick.
const (
	delayWithinRegion   = 2 * millisecond
	delayBetweenRegions = 12 * millisecond
)

// links holds the zone of each actor and which of them can reach each other.
type links struct {
	zones, regions int
	zoneOf         []int32  // by actor
	cutZones       [][]bool // pairs of zones between which messages are lost
	cutOff         []bool   // by front: whether it reaches no node
}

func newLinks(zones, regions, fronts, actors int) links {
	l := links{zones: zones, regions: regions, zoneOf: make([]int32, actors), cutOff: make([]bool, fronts)}
	for range zones {
		l.cutZones = append(l.cutZones, make([]bool, zones))
	}
	return l
}

func (l *links) regionOfActor(actor int32) int32 { return l.regionOfZone(l.zoneOf[actor]) }

func (l *links) regionOfZone(zone int32) int32 { return zone * int32(l.regions) / int32(l.zones) }

func (l *links) delay(from, to int32) scheduler.Micros {
	if l.regionOfActor(from) == l.regionOfActor(to) {
		return delayWithinRegion
	}
	return delayBetweenRegions
}

// isCut reports whether messages from one actor to another are lost.
func (l *links) isCut(from, to int32) bool {
	return l.cutZones[l.zoneOf[from]][l.zoneOf[to]] || l.isCutOffFrom(from, to) || l.isCutOffFrom(to, from)
}

// isCutOffFrom reports whether front is a front that reaches no node, and other is not a front. Such a front still reaches
// other fronts.
func (l *links) isCutOffFrom(front, other int32) bool {
	fronts := int32(len(l.cutOff))
	return front < fronts && l.cutOff[front] && other >= fronts
}

// setCut cuts the links between two zones, or restores them. Both may be the same zone: then it cuts the links within it.
func (l *links) setCut(a, b int, cut bool) { l.cutZones[a][b], l.cutZones[b][a] = cut, cut }

// setRegionsCut cuts the links between zones of different regions, or restores them.
func (l *links) setRegionsCut(cut bool) {
	for a := range l.zones {
		for b := range l.zones {
			if l.regionOfZone(int32(a)) != l.regionOfZone(int32(b)) {
				l.setCut(a, b, cut)
			}
		}
	}
}

// isolateZone cuts a zone's links to all zones, also those within it.
func (l *links) isolateZone(zone int) {
	for other := range l.zones {
		l.setCut(zone, other, true)
	}
}
