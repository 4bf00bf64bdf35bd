package curve

import (
	"math"
	"testing"
)

func TestLatencyAtSlope(t *testing.T) {
	// Throughput is 60 + 60 ln(latency / 10 ms) and the lowest latency is 10 ms, so the relative slope falls to a tenth at a
	// latency of 60 x 10 ms / (a tenth of the highest throughput).
	var c Curve
	for _, pointLatency := range []float64{5e3, 10e3, 20e3, 40e3, 80e3} {
		c = c.Add(Point{60 + 60*math.Log(pointLatency/10e3), pointLatency, 10e3}, 4)
	}
	if len(c) != 4 || c[0].Latency != 10e3 {
		t.Fatalf("curve %v, want the last four points", c)
	}
	latency, minLatency := c.LatencyAtSlope(0.1)
	if want := 60 * 10e3 / (0.1 * c[3].Throughput); math.Abs(latency-want) > 1 || minLatency != 10e3 {
		t.Errorf("latency %v, lowest latency %v, want %v and 10000", latency, minLatency, want)
	}
	if latency, minLatency := c[:1].LatencyAtSlope(0.1); latency != 0 || minLatency != 10e3 {
		t.Errorf("curve of a single point: latency %v, lowest latency %v, want 0 and 10000", latency, minLatency)
	}
}
