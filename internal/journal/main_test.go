package journal_test

import (
	"testing"

	"cicadabarrow.example/cicadabarrow/internal/rapidtest"
)

// TestMain fixes the seed of the random tests unless one is given.
func TestMain(m *testing.M) {
	rapidtest.Main(m, map[string]string{"seed": "1"})
}
