package scale

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Fit is a straight line by least squares.
type Fit struct {
	Sweep     int     // by its index
	Of        string  // the sweep's keys
	Figure    string  // what is fitted
	N         int     // runs
	Base      float64 // at 0
	Slope     float64 // for one more
	Error     float64 // standard error of the slope; NaN: not known, as with two runs
	Largest   float64
	Predicted float64 // at the largest, by a line through the others; NaN: they give none
	Measured  float64 // there, the mean of its runs
}

// within is how far the line through the smaller points may be off the run at the largest.
const within = 0.2

// Holds reports whether the smaller points tell the largest within 20%.
func (f *Fit) Holds() bool {
	return math.Abs(f.Predicted-f.Measured) <= within*math.Abs(f.Measured)
}

// line returns the least-squares line with the standard error of its slope. Slope and error are NaN if the points do not
// give them.
func line(x, y []float64) (base, slope, err float64) {
	if len(x) < 2 || slices.Min(x) == slices.Max(x) {
		return math.NaN(), math.NaN(), math.NaN()
	}
	base, slope = stat.LinearRegression(x, y, nil, false)
	if len(x) < 3 {
		return base, slope, math.NaN()
	}
	rest := 0.0
	for i := range x {
		d := y[i] - base - slope*x[i]
		rest += d * d
	}
	spread := stat.Variance(x, nil) * float64(len(x)-1)
	return base, slope, math.Sqrt(rest / float64(len(x)-2) / spread)
}

// fit fits one figure over a sweep's points that count. It reports false where fewer than two sizes do.
func fit(of, figure string, x, y []float64) (Fit, bool) {
	f := Fit{Of: of, Figure: figure, N: len(x)}
	if len(x) < 2 || slices.Min(x) == slices.Max(x) {
		return f, false
	}
	f.Base, f.Slope, f.Error = line(x, y)
	f.Largest = slices.Max(x)
	var smallX, smallY, there []float64
	for i := range x {
		if x[i] == f.Largest {
			there = append(there, y[i])
		} else {
			smallX, smallY = append(smallX, x[i]), append(smallY, y[i])
		}
	}
	f.Measured = stat.Mean(there, nil)
	base, slope, _ := line(smallX, smallY)
	f.Predicted = base + slope*f.Largest
	return f, true
}
