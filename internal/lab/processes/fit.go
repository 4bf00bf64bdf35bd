package processes

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is the least-squares line through measured points.
type Fit struct {
	Slope, Intercept float64
	SlopeError       float64 // standard error of the slope; NaN with fewer than three points
	Residual         float64 // standard deviation of the points about the line, in the unit of y
	Points           int
	Superlinear      bool // the last point lies far above the line through the others: growth is faster than linear
}

// Bounds for Superlinear: the last point counts as far above the line through the others if it exceeds it by 4 residuals of
// the others and by a quarter of its own value, provided that the slope of the others exceeds twice its standard error;
// otherwise the excess may be chance. Over sizes that double this detects quadratic growth, but not n log n.
const minExcessResiduals, minExcessShare = 4, 0.25

// fit fits a line and checks for growth faster than linear.
func fit(x, y []float64) Fit {
	f := leastSquares(x, y)
	if last := len(x) - 1; last > 2 {
		others := leastSquares(x[:last], y[:last])
		f.Superlinear = others.Slope > 2*others.SlopeError &&
			y[last]-others.At(x[last]) > max(minExcessResiduals*others.Residual, minExcessShare*math.Abs(y[last]))
	}
	return f
}

func leastSquares(x, y []float64) Fit {
	f := Fit{Points: len(x)}
	f.Intercept, f.Slope = stat.LinearRegression(x, y, nil, false)
	degreesOfFreedom := float64(len(x) - 2)
	squaredResiduals, mean, squaredDeviations := 0.0, stat.Mean(x, nil), 0.0
	for i := range x {
		squaredResiduals += math.Pow(y[i]-f.At(x[i]), 2)
		squaredDeviations += math.Pow(x[i]-mean, 2)
	}
	f.Residual = math.Sqrt(squaredResiduals / degreesOfFreedom)
	f.SlopeError = f.Residual / math.Sqrt(squaredDeviations)
	if degreesOfFreedom < 1 {
		f.Residual, f.SlopeError = math.NaN(), math.NaN()
	}
	return f
}

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }
