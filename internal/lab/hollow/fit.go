package hollow

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit describes how a figure depends on the number of fronts.
type Fit struct {
	Sizes    int     // number of sizes at which it was measured
	Slope    float64 // per additional front
	Error    float64 // standard error of the slope
	At0      float64 // value of the line at 0 fronts
	Exponent float64 // of the power law: 1 is in proportion to the fronts; NaN if a value is 0 or with fewer than 3 sizes
	ExpError float64 // standard error of the exponent
	Residual float64 // root mean square of the distances to the line, divided by the largest value
}

// fit fits a line to the values at sizes, and another one to their logarithms.
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

// line returns the least-squares line, the standard error of its slope and the root mean square residual.
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

// value returns a figure at a size: the measured value or, without one, an extrapolation from the power law or, where there
// is none, from the line.
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

// superlinear reports whether a figure grows faster than the number of fronts, by more than two standard errors.
func (f Fit) superlinear() bool { return f.Exponent-2*f.ExpError > 1 }
