package hollow

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit describes how a figure depends on the number of fronts.
type Fit struct {
	Sizes         int     // number of sizes at which it was measured
	Slope         float64 // per additional front
	SlopeError    float64 // standard error of the slope
	Intercept     float64 // value of the line at 0 fronts
	Exponent      float64 // of the power law: 1 is in proportion to the fronts; NaN if a value is 0 or with fewer than 3 sizes
	ExponentError float64 // standard error of the exponent
	Residual      float64 // root mean square of the distances to the line, divided by the largest value
}

// fit fits a line to the values at sizes, and another one to their logarithms.
func fit(sizes, values []float64) Fit {
	f := Fit{Sizes: len(sizes), Exponent: math.NaN(), ExponentError: math.NaN()}
	if len(sizes) < 3 {
		return f
	}
	residual := 0.0
	f.Intercept, f.Slope, f.SlopeError, residual = leastSquares(sizes, values)
	maxValue := 0.0
	for _, v := range values {
		if v <= 0 {
			return f
		}
		maxValue = max(maxValue, v)
	}
	f.Residual = residual / maxValue
	_, f.Exponent, f.ExponentError, _ = leastSquares(logarithms(sizes), logarithms(values))
	return f
}

// leastSquares returns the least-squares line, the standard error of its slope and the root mean square residual.
func leastSquares(x, y []float64) (intercept, slope, slopeError, residual float64) {
	intercept, slope = stat.LinearRegression(x, y, nil, false)
	squares, spread, mean := 0.0, 0.0, stat.Mean(x, nil)
	for i := range x {
		d := y[i] - intercept - slope*x[i]
		squares += d * d
		spread += (x[i] - mean) * (x[i] - mean)
	}
	n := float64(len(x))
	return intercept, slope, math.Sqrt(squares / (n - 2) / spread), math.Sqrt(squares / n)
}

func logarithms(values []float64) (out []float64) {
	for _, v := range values {
		out = append(out, math.Log(v))
	}
	return out
}

// valueAt returns a figure at a size: the measured value or, without one, an extrapolation from the power law or, where there
// is none, from the line.
func valueAt(size float64, sizes, values []float64, f Fit) (figure float64, measured bool) {
	for i, s := range sizes {
		if s == size {
			return values[i], true
		}
	}
	if !math.IsNaN(f.Exponent) {
		last := len(sizes) - 1
		return values[last] * math.Pow(size/sizes[last], f.Exponent), false
	}
	if f.Sizes >= 3 {
		return f.Intercept + f.Slope*size, false
	}
	return math.NaN(), false
}

// isSuperlinear reports whether a figure grows faster than the number of fronts, by more than two standard errors.
func (f Fit) isSuperlinear() bool { return f.Exponent-2*f.ExponentError > 1 }
