// Package curve estimates how a node's throughput depends on its latency, for the slow control loop of SlowFast CoDel.
// It reads no clock.
package curve

import "math"

// Point is the measurement of a node over one slow interval.
type Point struct {
	Throughput float64 // units per second
	Latency    float64 // mean, in microseconds
	Low        float64 // minimum, in microseconds
}

// Curve holds the latest points of a node, oldest first.
type Curve []Point

// Add appends a point and drops the oldest ones beyond a maximum number.
func (c Curve) Add(p Point, most int) Curve {
	c = append(c, p)
	return c[max(0, len(c)-most):]
}

// LatencyAtSlope fits throughput = a + b x ln(latency) to the points. It returns the latency at which the slope of the fit,
// relative to the highest throughput and the lowest latency, falls to the given slope, and the lowest latency. The first
// result is 0 for points that determine no slope, such as a single one. The curve must not be empty.
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
