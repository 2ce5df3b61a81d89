package scale

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// MinimumPoints is the least number of points that a slope is fitted to.
const MinimumPoints = 4

// ErrTooFewPoints is returned for a series that is too short to be fitted.
var ErrTooFewPoints = errors.New("scale: too few points for a fit")

// ErrNoSpread is returned for a series whose sizes are all the same.
var ErrNoSpread = errors.New("scale: sizes of a series must differ")

// Point is one measurement: a quantity's value at a size.
type Point struct {
	Size  float64
	Value float64
}

// Fit is a line of least squares with its errors.
type Fit struct {
	// Slope is the growth of the value for each unit of the size.
	Slope float64
	// SlopeError is the standard error of Slope.
	SlopeError float64
	// Intercept is the line's value at size zero.
	Intercept float64
	// ResidualError is the residual standard error, in the value's unit.
	ResidualError float64
	// RSquared is the share of the values' variance that the line explains. It
	// is 1 when the values don't vary at all.
	RSquared float64
	// Points is the number of points that were fitted.
	Points int
	// MeanSize is the mean of the points' sizes, and SizeSquares the sum of the
	// squares of their distances from it.
	MeanSize, SizeSquares float64
}

// FitLine fits a line of least squares to at least MinimumPoints points.
func FitLine(points []Point) (Fit, error) {
	if len(points) < MinimumPoints {
		return Fit{}, fmt.Errorf("%w: %d, need %d", ErrTooFewPoints, len(points), MinimumPoints)
	}
	sizes, values := columns(points)
	mean, variance := stat.MeanVariance(sizes, nil)
	if variance == 0 {
		return Fit{}, ErrNoSpread
	}
	intercept, slope := stat.LinearRegression(sizes, values, nil, false)
	fit := Fit{Slope: slope, Intercept: intercept, RSquared: 1, Points: len(points)}
	fit.MeanSize, fit.SizeSquares = mean, variance*float64(len(points)-1)
	if stat.Variance(values, nil) > 0 {
		fit.RSquared = stat.RSquared(sizes, values, nil, intercept, slope)
	}
	squares := 0.0
	for _, point := range points {
		residual := point.Value - fit.At(point.Size)
		squares += residual * residual
	}
	fit.ResidualError = math.Sqrt(squares / float64(len(points)-2))
	fit.SlopeError = fit.ResidualError / math.Sqrt(fit.SizeSquares)
	return fit, nil
}

// At is the line's value at a size.
func (f Fit) At(size float64) float64 {
	return f.Intercept + f.Slope*size
}

// PredictionError is the standard error of one more value at a size, if the
// line holds there.
func (f Fit) PredictionError(size float64) float64 {
	distance := size - f.MeanSize
	return f.ResidualError * math.Sqrt(1+1/float64(f.Points)+distance*distance/f.SizeSquares)
}

func columns(points []Point) (sizes, values []float64) {
	for _, point := range points {
		sizes = append(sizes, point.Size)
		values = append(values, point.Value)
	}
	return sizes, values
}
