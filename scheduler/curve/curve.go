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
func (c Curve) Add(p Point, maxPoints int) Curve {
	c = append(c, p)
	return c[max(0, len(c)-maxPoints):]
}

// LatencyAtSlope fits throughput = a + b x ln(latency) to the points. It returns the latency at which the slope of the fit,
// relative to the highest throughput and the lowest latency, falls to the given slope, and the lowest latency. The first
// result is 0 for points that determine no slope, such as a single one. The curve must not be empty.
func (c Curve) LatencyAtSlope(slope float64) (latency, minLatency float64) {
	var n, sumX, sumY, sumXX, sumXY, maxThroughput float64
	minLatency = c[0].Low
	for _, p := range c {
		logLatency := math.Log(p.Latency)
		n, sumX, sumY, sumXX, sumXY = n+1, sumX+logLatency, sumY+p.Throughput, sumXX+logLatency*logLatency, sumXY+logLatency*p.Throughput
		maxThroughput, minLatency = max(maxThroughput, p.Throughput), min(minLatency, p.Low)
	}
	if denominator := n*sumXX - sumX*sumX; denominator > 1e-9 {
		latency = (n*sumXY - sumX*sumY) / denominator * minLatency / (slope * maxThroughput)
	}
	return latency, minLatency
}
