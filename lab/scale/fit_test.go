package scale

import (
	"errors"
	"math"
	"testing"
)

func TestPredictionErrorGrowsWithDistance(t *testing.T) {
	fit, err := FitLine([]Point{{0, 1}, {1, -1}, {2, -1}, {3, 1}})
	if err != nil {
		t.Fatal(err)
	}
	near, far := fit.PredictionError(1.5), fit.PredictionError(6.5)
	if want := math.Sqrt2 * math.Sqrt(1.25); math.Abs(near-want) > 1e-9 {
		t.Errorf("at the mean: %g, want %g", near, want)
	}
	if want := math.Sqrt2 * math.Sqrt(1.25+5); math.Abs(far-want) > 1e-9 {
		t.Errorf("far away: %g, want %g", far, want)
	}
}

func TestFitLine(t *testing.T) {
	const tolerance = 1e-9
	cases := []struct {
		name   string
		points []Point
		want   Fit
		err    error
	}{
		{
			name:   "exact line",
			points: []Point{{1, 5}, {2, 7}, {3, 9}, {4, 11}},
			want:   Fit{Slope: 2, Intercept: 3, RSquared: 1, Points: 4},
		},
		{
			name:   "constant value",
			points: []Point{{1, 5}, {2, 5}, {3, 5}, {4, 5}},
			want:   Fit{Intercept: 5, RSquared: 1, Points: 4},
		},
		{
			name:   "residuals of one",
			points: []Point{{0, 1}, {1, -1}, {2, -1}, {3, 1}},
			want:   Fit{ResidualError: math.Sqrt2, SlopeError: math.Sqrt2 / math.Sqrt(5), Points: 4},
		},
		{name: "too few points", points: []Point{{1, 1}, {2, 2}, {3, 3}}, err: ErrTooFewPoints},
		{name: "one size", points: []Point{{1, 1}, {1, 2}, {1, 3}, {1, 4}}, err: ErrNoSpread},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got, err := FitLine(test.points)
			if !errors.Is(err, test.err) {
				t.Fatalf("error %v, want %v", err, test.err)
			}
			pairs := [][2]float64{
				{got.Slope, test.want.Slope}, {got.Intercept, test.want.Intercept},
				{got.RSquared, test.want.RSquared}, {got.ResidualError, test.want.ResidualError},
				{got.SlopeError, test.want.SlopeError}, {float64(got.Points), float64(test.want.Points)},
			}
			for index, pair := range pairs {
				if math.Abs(pair[0]-pair[1]) > tolerance {
					t.Errorf("field %d: got %v, want %v", index, got, test.want)
				}
			}
		})
	}
}
