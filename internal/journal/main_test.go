package journal_test

import (
	"testing"

	"cicadabarrow.example/cicadabarrow/internal/rapidtest"
)

// TestMain sets the seed of the random tests unless a flag sets it.
func TestMain(m *testing.M) {
	rapidtest.Main(m, map[string]string{"seed": "1"})
}
