package lilacglade

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestHints guards against hints that are believed whatever they say: work follows good ones, and those that
// are missing, negative or beyond all measure leave the line as it is and count as the mean.
func TestHints(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, odd := range []float64{0, -1, math.Inf(1), math.NaN(), 1000} {
		f := linearRegression{meanY: 0.1}
		for range 5000 {
			x := 0.02 + 0.06*rng.Float64()
			y := 2 * x
			if rng.IntN(3) == 0 {
				x = odd
			}
			f.add(x, y, regressionGain)
		}
		if got := f.predict(0.08); math.Abs(got-0.16) > 0.02 {
			t.Errorf("odd hints %g: a good one of 0.08 gives %.3f, want 0.16", odd, got)
		}
		if got := f.predict(odd); math.Abs(got-0.1) > 0.01 {
			t.Errorf("odd hints %g: one of them gives %.3f, want the mean", odd, got)
		}
	}
	f := linearRegression{meanY: 0.1} // no hints at all
	for range 500 {
		f.add(0, 0.05, regressionGain)
	}
	if got := f.predict(0); math.Abs(got-0.05) > 1e-6 {
		t.Errorf("without hints %.3f", got)
	}
	for range 2000 { // and then good ones
		x := 0.02 + 0.06*rng.Float64()
		f.add(x, x, regressionGain)
	}
	if got := f.predict(0.08); math.Abs(got-0.08) > 0.01 {
		t.Errorf("hints that come late: %.3f, want 0.08", got)
	}
}
