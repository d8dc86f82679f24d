package ledger_test

import (
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"cicadabarrow.example/cicadabarrow/internal/ledger"
)

func TestHostsAreReadAsWritten(t *testing.T) {
	addrs := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.1:1")}
	value, err := ledger.EncodeHosts(addrs)
	if err != nil {
		t.Fatal(err)
	}
	got, err := ledger.DecodeHosts(value)
	if err != nil || !slices.Equal(got, addrs) {
		t.Errorf("read %v, %v", got, err)
	}
}

// A malformed row of the hosts must give an error and no host.
func TestMalformedHostsAreRejected(t *testing.T) {
	for name, value := range map[string]any{
		"no list":        3,
		"no address":     []string{"somewhere"},
		"too many hosts": slices.Repeat([]string{"10.0.0.1:1"}, ledger.MaxHosts+1),
		"a long address": []string{strings.Repeat("1", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := msgpack.Marshal(value)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := ledger.DecodeHosts(raw); err == nil {
				t.Errorf("read %v", got)
			}
		})
	}
}
