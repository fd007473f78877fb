package capacity

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
)

// Form is the way in which a quantity grows with a size.
type Form string

// The forms that are tried, simplest first.
const (
	Constant  Form = "constant"
	Linear    Form = "linear"
	NLogN     Form = "n log n"
	Quadratic Form = "quadratic"
)

// Fit is a form with its coefficients, Base + Slope * term(size), and its relative residual.
type Fit struct {
	Form     Form
	Base     float64
	Slope    float64
	Residual float64 // root mean square of (fitted - measured) / measured
	Largest  float64 // largest measured size
}

// A simpler form is chosen if its residual is at most residualTolerance times the smallest residual. A residual of
// at most goodResidual is accepted in any case.
const (
	residualTolerance = 1.25
	goodResidual      = 0.03
	// A value at more than extrapolationFactor times the largest measured size is called extrapolated.
	extrapolationFactor = 4
)

// errNoFit reports that no form fits the points.
var errNoFit = errors.New("capacity: no form can be fitted")

// FitSeries returns the simplest form whose residual is close to the smallest one.
func FitSeries(points []Point) (Fit, error) {
	var fits []Fit
	minResidual := math.Inf(1)
	for _, form := range []Form{Constant, Linear, NLogN, Quadratic} {
		fit, err := fitForm(form, points)
		if err != nil {
			continue
		}
		fits = append(fits, fit)
		minResidual = min(minResidual, fit.Residual)
	}
	for _, fit := range fits {
		if fit.Residual <= max(goodResidual, residualTolerance*minResidual) {
			return fit, nil
		}
	}
	return Fit{}, errNoFit
}

// term returns the term of the form that grows with the size.
func (f Form) term(size float64) float64 {
	switch f {
	case Linear:
		return size
	case NLogN:
		return size * math.Log2(max(size, 1))
	case Quadratic:
		return size * size
	}
	return 0
}

// fitForm fits a form by least squares of the relative errors, so that each point has the same weight regardless of
// its value.
func fitForm(form Form, points []Point) (Fit, error) {
	columns := 2
	if form == Constant {
		columns = 1
	}
	left, right := mat.NewDense(len(points), columns, nil), mat.NewVecDense(len(points), nil)
	fit := Fit{Form: form}
	for i, p := range points {
		if p.Value <= 0 {
			return fit, errNoFit
		}
		left.Set(i, 0, 1/p.Value)
		if columns > 1 {
			left.Set(i, 1, form.term(p.Size)/p.Value)
		}
		right.SetVec(i, 1)
		fit.Largest = max(fit.Largest, p.Size)
	}
	var solved mat.VecDense
	var condition mat.Condition
	if err := solved.SolveVec(left, right); err != nil && !errors.As(err, &condition) {
		return fit, fmt.Errorf("capacity: %w", err)
	}
	fit.Base = solved.AtVec(0)
	if columns > 1 {
		fit.Slope = solved.AtVec(1)
	}
	if fit.Slope < 0 {
		return fit, errNoFit
	}
	sum := 0.0
	for _, p := range points {
		relativeError := fit.At(p.Size)/p.Value - 1
		sum += relativeError * relativeError
	}
	fit.Residual = math.Sqrt(sum / float64(len(points)))
	return fit, nil
}

// At returns the fitted value at a size.
func (f Fit) At(size float64) float64 { return max(0, f.Base+f.Slope*f.Form.term(size)) }

// Extrapolated reports whether a size is too far above the largest measured one.
func (f Fit) Extrapolated(size float64) bool { return size > extrapolationFactor*f.Largest }
