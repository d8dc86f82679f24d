package pool

import (
	"net/netip"
	"testing"

	"cicadabarrow.example/cicadabarrow/internal/rapidtest"
)

// loopback is the address of every worker in the tests.
var loopback = netip.MustParseAddrPort("127.0.0.1:1")

// TestMain fixes the seed of rapid's state machine tests. Flags of rapid
// override it.
func TestMain(m *testing.M) {
	rapidtest.Main(m, map[string]string{"seed": "1", "checks": "300"})
}
