package capacity

import "math"

// Model is the shape of the growth that a mechanism implies. It is chosen from
// the mechanism, not from the measured values.
type Model string

// Models. Each is y = intercept + slope × f(x).
const (
	// Linear has f(x) = x: work for each element.
	Linear Model = "linear"
	// NLogN has f(x) = x log2 x: sorting.
	NLogN Model = "n log n"
	// Log has f(x) = log2 x: rounds of an epidemic.
	Log Model = "log n"
	// Inverse has f(x) = 1/x: a fixed cost that more requests share.
	Inverse Model = "1/n"
)

func (m Model) scale(x float64) float64 {
	switch m {
	case NLogN:
		return x * math.Log2(x)
	case Log:
		return math.Log2(x)
	case Inverse:
		return 1 / x
	}
	return x
}

// Fit is a least-squares line through measured values.
type Fit struct {
	Model     Model   `json:"model"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// SlopeError is the standard error of the slope.
	SlopeError float64 `json:"slope_error"`
	// residual is the standard deviation of the values around the line; mean
	// and spread describe the transformed sizes.
	residual, mean, spread, n float64
}

// minPoints is the smallest number of sizes that leaves two degrees of freedom
// for the standard error.
const minPoints = 4

// NewFit fits y = intercept + slope × f(x). It needs at least minPoints
// different sizes; with fewer the errors are not a number.
func NewFit(m Model, sizes, values []float64) Fit {
	n := float64(len(sizes))
	f := Fit{Model: m, n: n}
	var meanY float64
	for i, x := range sizes {
		f.mean += m.scale(x) / n
		meanY += values[i] / n
	}
	var cross float64
	for i, x := range sizes {
		d := m.scale(x) - f.mean
		f.spread += d * d
		cross += d * (values[i] - meanY)
	}
	f.Slope = cross / f.spread
	f.Intercept = meanY - f.Slope*f.mean
	var squares float64
	for i, x := range sizes {
		r := values[i] - f.Intercept - f.Slope*m.scale(x)
		squares += r * r
	}
	f.residual = math.Sqrt(squares / (n - 2))
	f.SlopeError = f.residual / math.Sqrt(f.spread)
	return f
}

// At returns the value of the line at a size and its standard error.
func (f Fit) At(size float64) (value, standardError float64) {
	x := f.Model.scale(size)
	d := x - f.mean
	return f.Intercept + f.Slope*x, f.residual * math.Sqrt(1/f.n+d*d/f.spread)
}
