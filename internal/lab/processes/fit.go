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
}

// fit lays a line through points.
func fit(x, y []float64) Fit {
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
