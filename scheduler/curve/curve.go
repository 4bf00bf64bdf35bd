// Package curve estimates how a node's throughput goes with its latency, as the slow loop of SlowFast CoDel
// needs it. It reads no clock.
package curve

import "math"

// Point is what a node showed over one slow interval.
type Point struct {
	Throughput float64 // units a second
	Latency    float64 // mean, in microseconds
	Low        float64 // the lowest one
}

// Curve is what a node showed of late, the oldest first.
type Curve []Point

// Add takes in a point, and drops the oldest beyond so many.
func (c Curve) Add(p Point, most int) Curve {
	c = append(c, p)
	return c[max(0, len(c)-most):]
}

// LatencyAtSlope fits throughput = a + b x ln(latency) and returns the latency at which its slope, relative to the highest
// throughput and the lowest latency, comes down to the one given, and the lowest latency. A curve that tells no
// slope meets it at 0. It must not be empty.
func (c Curve) LatencyAtSlope(slope float64) (latency, low float64) {
	var n, x, y, xx, xy, top float64
	low = c[0].Low
	for _, p := range c {
		l := math.Log(p.Latency)
		n, x, y, xx, xy = n+1, x+l, y+p.Throughput, xx+l*l, xy+l*p.Throughput
		top, low = max(top, p.Throughput), min(low, p.Low)
	}
	if d := n*xx - x*x; d > 1e-9 {
		latency = (n*xy - x*y) / d * low / (slope * top)
	}
	return latency, low
}
