package upstream_test

import (
	"testing"

	"cicadabarrow.example/cicadabarrow/internal/rapidtest"
)

// TestMain sets the seed and the length of the stateful tests, unless flags give
// them.
func TestMain(m *testing.M) {
	rapidtest.Main(m, map[string]string{"seed": "11", "steps": "250", "checks": "1500"})
}
