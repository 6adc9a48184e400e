package lilacglade

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestCostHints checks that estimates follow good cost hints, and that a hint that is missing,
// negative or extremely large does not change the line and counts as the mean.
func TestCostHints(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, invalid := range []float64{0, -1, math.Inf(1), math.NaN(), 1000} {
		regression := linearRegression{meanY: 0.1}
		for range 5000 {
			x := 0.02 + 0.06*rng.Float64()
			y := 2 * x
			if rng.IntN(3) == 0 {
				x = invalid
			}
			regression.add(x, y, regressionGain)
		}
		if got := regression.predict(0.08); math.Abs(got-0.16) > 0.02 {
			t.Errorf("invalid hints %g: a good one of 0.08 gives %.3f, want 0.16", invalid, got)
		}
		if got := regression.predict(invalid); math.Abs(got-0.1) > 0.01 {
			t.Errorf("invalid hints %g: one of them gives %.3f, want the mean", invalid, got)
		}
	}
	regression := linearRegression{meanY: 0.1} // no hints at all
	for range 500 {
		regression.add(0, 0.05, regressionGain)
	}
	if got := regression.predict(0); math.Abs(got-0.05) > 1e-6 {
		t.Errorf("without hints: %.3f, want 0.05", got)
	}
	for range 2000 { // and then good ones
		x := 0.02 + 0.06*rng.Float64()
		regression.add(x, x, regressionGain)
	}
	if got := regression.predict(0.08); math.Abs(got-0.08) > 0.01 {
		t.Errorf("hints after points without: %.3f, want 0.08", got)
	}
}
