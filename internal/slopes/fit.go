package slopes

import (
	"errors"
	"math"

	"gonum.org/v1/gonum/mat"
)

// Line is coefficients that fit measurements best, each with its standard error.
type Line struct {
	Coef, Error []float64
	Worst       float64 // largest residual, as a part of what was measured
}

// ErrPoints is for measurements that do not determine a line.
var ErrPoints = errors.New("slopes: not enough different points for the line")

// Fit finds the coefficients by which the terms of each row add up to y best, by least squares.
func Fit(rows [][]float64, y []float64) (Line, error) {
	if len(rows) == 0 || len(rows) != len(y) || len(rows) <= len(rows[0]) {
		return Line{}, ErrPoints
	}
	n, k := len(rows), len(rows[0])
	x := mat.NewDense(n, k, nil)
	scale := make([]float64, k) // terms differ by many powers of ten
	for _, row := range rows {
		for j, v := range row {
			scale[j] = max(scale[j], math.Abs(v))
		}
	}
	for i, row := range rows {
		for j, v := range row {
			if scale[j] == 0 {
				return Line{}, ErrPoints
			}
			x.Set(i, j, v/scale[j])
		}
	}
	var qr mat.QR
	qr.Factorize(x)
	var coef mat.VecDense
	if err := qr.SolveVecTo(&coef, false, mat.NewVecDense(n, y)); err != nil {
		return Line{}, ErrPoints
	}
	l := Line{Coef: make([]float64, k), Error: make([]float64, k)}
	var fitted mat.VecDense
	fitted.MulVec(x, &coef)
	sum := 0.0
	for i := range y {
		miss := y[i] - fitted.AtVec(i)
		sum += miss * miss
		l.Worst = max(l.Worst, math.Abs(miss)/max(math.Abs(y[i]), 1e-300))
	}
	var square, inverse mat.Dense
	square.Mul(x.T(), x)
	if err := inverse.Inverse(&square); err != nil {
		return Line{}, ErrPoints
	}
	variance := sum / float64(n-k)
	for j := range k {
		l.Coef[j] = coef.AtVec(j) / scale[j]
		l.Error[j] = math.Sqrt(variance*inverse.At(j, j)) / scale[j]
	}
	return l, nil
}

// At returns what the line says of a row of terms.
func (l Line) At(row []float64) (y float64) {
	for j, v := range row {
		y += l.Coef[j] * v
	}
	return y
}
