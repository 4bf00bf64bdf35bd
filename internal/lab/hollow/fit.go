package hollow

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is how a figure goes by the number of fronts.
type Fit struct {
	Sizes    int     // that it was measured at
	Slope    float64 // for each further front, and
	Error    float64 // its standard error
	At0      float64
	Exponent float64 // of the power that it grows by: 1 is in proportion to the fronts; NaN where a value is 0, and
	ExpError float64 // its standard error
	Residual float64 // root of the mean square about the line, as a share of the largest value
}

// fit draws lines through values at sizes: one as they are, and one through their logarithms.
func fit(sizes, values []float64) Fit {
	f := Fit{Sizes: len(sizes), Exponent: math.NaN(), ExpError: math.NaN()}
	if len(sizes) < 3 {
		return f
	}
	residual := 0.0
	f.At0, f.Slope, f.Error, residual = line(sizes, values)
	most := 0.0
	for _, v := range values {
		if v <= 0 {
			return f
		}
		most = max(most, v)
	}
	f.Residual = residual / most
	_, f.Exponent, f.ExpError, _ = line(logs(sizes), logs(values))
	return f
}

// line is a least-squares line, with the standard error of its slope and the residual.
func line(x, y []float64) (at0, slope, slopeError, residual float64) {
	at0, slope = stat.LinearRegression(x, y, nil, false)
	squares, spread, mean := 0.0, 0.0, stat.Mean(x, nil)
	for i := range x {
		d := y[i] - at0 - slope*x[i]
		squares += d * d
		spread += (x[i] - mean) * (x[i] - mean)
	}
	n := float64(len(x))
	return at0, slope, math.Sqrt(squares / (n - 2) / spread), math.Sqrt(squares / n)
}

func logs(values []float64) (out []float64) {
	for _, v := range values {
		out = append(out, math.Log(v))
	}
	return out
}

// value is what a figure is at a size: measured, or else reckoned from the fits, by the power if there is one.
func value(size float64, sizes, values []float64, f Fit) (at float64, measured bool) {
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
		return f.At0 + f.Slope*size, false
	}
	return math.NaN(), false
}

// superlinear tells that a figure grows faster than the fleet, beyond the error of the fit.
func (f Fit) superlinear() bool { return f.Exponent-2*f.ExpError > 1 }
