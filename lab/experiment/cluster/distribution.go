package cluster

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// ErrUnknownDistribution is returned for a distribution with an unknown name.
var ErrUnknownDistribution = errors.New("cluster: unknown distribution")

// Names of service-time distributions.
const (
	Constant    = "constant"
	Exponential = "exponential"
	LogNormal   = "lognormal"
	Pareto      = "pareto"
)

const (
	defaultSigma      = 1.0
	defaultShape      = 1.5
	paretoCapMultiple = 200
)

// Distribution is the distribution of a sub-request's service time.
type Distribution struct {
	// Name is Constant, Exponential, LogNormal or Pareto.
	Name string
	// Mean is the mean service time.
	Mean time.Duration
	// Sigma is the standard deviation of the logarithm for LogNormal; zero
	// means 1.
	Sigma float64
	// Shape is the tail index for Pareto, which is truncated at 200 times its
	// minimum; zero means 1.5.
	Shape float64
}

// Validate returns ErrUnknownDistribution if the name is unknown.
func (d Distribution) Validate() error {
	switch d.Name {
	case Constant, Exponential, LogNormal, Pareto:
		return nil
	}
	return fmt.Errorf("%w: %q", ErrUnknownDistribution, d.Name)
}

// Quantile returns the service time at probability p, in [0, 1).
func (d Distribution) Quantile(p float64) time.Duration {
	return time.Duration(d.unitQuantile(p) * float64(d.Mean))
}

// unitQuantile returns the quantile of the distribution scaled to mean 1.
func (d Distribution) unitQuantile(p float64) float64 {
	switch d.Name {
	case Exponential:
		return -math.Log1p(-p)
	case LogNormal:
		sigma := valueOr(d.Sigma, defaultSigma)
		normal := math.Sqrt2 * math.Erfinv(2*p-1)
		return math.Exp(sigma*normal - sigma*sigma/2)
	case Pareto:
		return boundedPareto(valueOr(d.Shape, defaultShape), p)
	default:
		return 1
	}
}

// boundedPareto returns the quantile of a Pareto distribution on [low, 200*low]
// whose mean is 1.
func boundedPareto(shape, p float64) float64 {
	tail := math.Pow(paretoCapMultiple, -shape)
	var mean float64
	if shape == 1 {
		mean = math.Log(paretoCapMultiple) / (1 - tail)
	} else {
		mean = shape / (shape - 1) * (1 - math.Pow(paretoCapMultiple, 1-shape)) / (1 - tail)
	}
	return math.Pow(1-p*(1-tail), -1/shape) / mean
}

func valueOr(value, fallback float64) float64 {
	if value == 0 {
		return fallback
	}
	return value
}
