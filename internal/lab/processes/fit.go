package processes

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is a straight line through measured points, by least squares.
type Fit struct {
	Slope, Intercept float64
	Error            float64 // standard error of the slope; NaN where there are under three points
	Residual         float64 // standard deviation of the points about the line, in the unit of y
	Points           int
	Faster           bool // the last point lies far above the line through the others: it grows faster than linearly
}

// What counts as far above: so many residuals of the others, and so much of the point itself. Where the others hardly grow
// it is chance. A square is found over sizes that double; what grows as n log n is not.
const farResiduals, farShare = 4, 0.25

// fit lays a line through points.
func fit(x, y []float64) Fit {
	f := line(x, y)
	if last := len(x) - 1; last > 2 {
		others := line(x[:last], y[:last])
		f.Faster = others.Slope > 2*others.Error && y[last]-others.At(x[last]) > max(farResiduals*others.Residual, farShare*math.Abs(y[last]))
	}
	return f
}

func line(x, y []float64) Fit {
	f := Fit{Points: len(x)}
	f.Intercept, f.Slope = stat.LinearRegression(x, y, nil, false)
	free := float64(len(x) - 2)
	squares, mean, spread := 0.0, stat.Mean(x, nil), 0.0
	for i := range x {
		squares += math.Pow(y[i]-f.At(x[i]), 2)
		spread += math.Pow(x[i]-mean, 2)
	}
	f.Residual = math.Sqrt(squares / free)
	f.Error = f.Residual / math.Sqrt(spread)
	if free < 1 {
		f.Residual, f.Error = math.NaN(), math.NaN()
	}
	return f
}

// At is the line's height.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }
