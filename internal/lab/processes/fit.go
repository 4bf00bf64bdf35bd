package processes

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is the least-squares line through measured points.
type Fit struct {
	Slope, Intercept float64
	Error            float64 // standard error of the slope; NaN with fewer than three points
	Residual         float64 // standard deviation of the points about the line, in the unit of y
	Points           int
	Faster           bool // the last point lies far above the line through the others: growth is faster than linear
}

// The last point counts as far above the line through the others if it exceeds it by 4 residuals of the others and by a
// quarter of its own value, provided that the slope of the others exceeds twice its standard error; otherwise the excess may
// be chance. Over sizes that double this detects quadratic growth, but not n log n.
const farResiduals, farShare = 4, 0.25

// fit fits a line and checks for growth faster than linear.
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

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }
