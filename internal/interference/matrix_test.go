package interference

import (
	"math"
	"math/rand/v2"
	"testing"
)

// A wrong inverse would attribute losses to the wrong neighbours, without any other sign.
func TestInvert(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for n := range maxNeighbours + 1 {
		var original, inverse square
		for range 2 * n {
			var row [maxNeighbours]float64
			for i := range n {
				row[i] = random.NormFloat64()
			}
			for i := range n {
				for j := range n {
					original[i][j] += row[i] * row[j]
				}
			}
		}
		inverse = original
		if !inverse.invert(n) {
			t.Fatalf("%d rows: not inverted", n)
		}
		for i := range n {
			for j := range n {
				sum, want := 0.0, 0.0
				if i == j {
					want = 1
				}
				for k := range n {
					sum += original[i][k] * inverse[k][j]
				}
				if math.Abs(sum-want) > 1e-6 {
					t.Fatalf("%d rows: element %d, %d of the product is %v", n, i, j, sum)
				}
			}
		}
	}
}

// Sums that are not positive definite, which rounding errors can cause, must give no
// coefficients.
func TestInvertRejectsWhatIsNotPositiveDefinite(t *testing.T) {
	for _, m := range []square{{{0}}, {{-1}}, {{math.NaN()}}, {{math.Inf(1)}}, {{1, 2}, {2, 1}}} {
		if m.invert(2) {
			t.Errorf("%v was inverted", m[0][:2])
		}
	}
}
