package scale

import (
	"testing"
)

func TestSweepsRunAtTheirSmallestSize(t *testing.T) {
	for _, sweep := range Sweeps() {
		t.Run(sweep.Name, func(t *testing.T) {
			if len(sweep.Sizes) < MinimumPoints {
				t.Fatalf("%d sizes, need %d", len(sweep.Sizes), MinimumPoints)
			}
			samples, err := sweep.Measure(t.Context(), sweep.Sizes[0])
			if err != nil {
				t.Fatal(err)
			}
			if len(samples) == 0 {
				t.Fatal("nothing measured")
			}
			for _, sample := range samples {
				t.Logf("%s at %g: %g", sample.Quantity, sweep.Sizes[0], sample.Value)
			}
		})
	}
}
