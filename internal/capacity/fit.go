package capacity

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
)

// Form is how a quantity grows with a size.
type Form string

// The forms that are tried, the plainest first.
const (
	Constant  Form = "constant"
	Linear    Form = "linear"
	NLogN     Form = "n log n"
	Quadratic Form = "quadratic"
)

// Fit is a form with its coefficients: Base + Slope * term(size), with a relative residual.
type Fit struct {
	Form     Form
	Base     float64
	Slope    float64
	Residual float64 // root of the mean square of (fitted - measured) / measured
	Largest  float64 // the largest size measured
}

// plainer is how much larger a plainer form's residual may be before a steeper one is taken; well is the residual that is good
// enough in any case.
const (
	plainer = 1.25
	well    = 0.03
	// extrapolatedFrom times the largest size measured, a figure is called extrapolated.
	extrapolatedFrom = 4
)

// errNoFit says that no form fits.
var errNoFit = errors.New("capacity: no form can be fitted")

// FitSeries picks the plainest form whose residual is near the least.
func FitSeries(points []Point) (Fit, error) {
	var fits []Fit
	least := math.Inf(1)
	for _, form := range []Form{Constant, Linear, NLogN, Quadratic} {
		fit, err := fitForm(form, points)
		if err != nil {
			continue
		}
		fits = append(fits, fit)
		least = min(least, fit.Residual)
	}
	for _, fit := range fits {
		if fit.Residual <= max(well, plainer*least) {
			return fit, nil
		}
	}
	return Fit{}, errNoFit
}

// term is what a form grows by.
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

// fitForm solves the least squares of the relative errors: each point counts alike, however large it is.
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
		miss := fit.At(p.Size)/p.Value - 1
		sum += miss * miss
	}
	fit.Residual = math.Sqrt(sum / float64(len(points)))
	return fit, nil
}

// At is the fitted value at a size.
func (f Fit) At(size float64) float64 { return max(0, f.Base+f.Slope*f.Form.term(size)) }

// Extrapolated says whether a size lies too far beyond the largest one measured.
func (f Fit) Extrapolated(size float64) bool { return size > extrapolatedFrom*f.Largest }
