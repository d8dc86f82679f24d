package intake

import (
	"testing"

	"cicadabarrow.example/cicadabarrow/internal/rapidtest"
)

// TestMain fixes the seed and the number of checks, so that CI gives the same verdict each
// time. Flags given on the command line take precedence.
func TestMain(m *testing.M) {
	rapidtest.Main(m, map[string]string{"seed": "7", "checks": "300", "steps": "40", "nofailfile": "true"})
}
