package emulator

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/banksail/banksail/policy"
)

// ErrInvalidDistribution is returned for a distribution that cannot be sampled:
// an unknown kind, a shape outside the kind's domain or a negative time.
var ErrInvalidDistribution = errors.New("emulator: invalid distribution")

// DistributionKind is a family of probability distributions of service times.
type DistributionKind string

// Supported values of DistributionKind.
const (
	Fixed       DistributionKind = "fixed"
	Exponential DistributionKind = "exponential"
	LogNormal   DistributionKind = "lognormal"
	Pareto      DistributionKind = "pareto"
)

// Distribution is a probability distribution of service times.
type Distribution struct {
	Kind DistributionKind `json:"kind" validate:"oneof=fixed exponential lognormal pareto"`
	// Mean is the mean service time before Maximum is applied.
	Mean policy.Milliseconds `json:"mean_ms" validate:"min=0,max=600000"`
	// Shape is the standard deviation of the logarithm for lognormal, and the
	// tail index, greater than one, for pareto; other kinds ignore it.
	Shape float64 `json:"shape,omitempty" validate:"min=0,max=100"`
	// Maximum caps each sample; zero means no cap.
	Maximum policy.Milliseconds `json:"max_ms,omitempty" validate:"min=0,max=600000"`
}

// Validate returns an error that wraps ErrInvalidDistribution if the
// distribution cannot be sampled.
func (d Distribution) Validate() error {
	switch d.Kind {
	case Fixed, Exponential:
	case LogNormal:
		if d.Shape < 0 {
			return fmt.Errorf("%w: shape is negative", ErrInvalidDistribution)
		}
	case Pareto:
		if d.Shape <= 1 {
			return fmt.Errorf("%w: shape must be greater than 1 for pareto", ErrInvalidDistribution)
		}
	default:
		return fmt.Errorf("%w: kind %q", ErrInvalidDistribution, d.Kind)
	}
	if d.Mean < 0 || d.Maximum < 0 {
		return fmt.Errorf("%w: mean_ms or max_ms is negative", ErrInvalidDistribution)
	}
	return nil
}

// Sample draws one service time, capped at Maximum.
func (d Distribution) Sample(random *rand.Rand) time.Duration {
	value := float64(d.Mean) * d.unit(random)
	if d.Maximum > 0 {
		value = min(value, float64(d.Maximum))
	}
	return policy.Milliseconds(value).Duration()
}

// unit draws a sample from the distribution scaled to a mean of one.
func (d Distribution) unit(random *rand.Rand) float64 {
	switch d.Kind {
	case Exponential:
		return random.ExpFloat64()
	case LogNormal:
		return math.Exp(d.Shape*random.NormFloat64() - d.Shape*d.Shape/2)
	case Pareto:
		scale := (d.Shape - 1) / d.Shape
		return scale * math.Pow(1-random.Float64(), -1/d.Shape)
	default:
		return 1
	}
}
