package host

import (
	"math"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/account"
	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

// Shares are those among the accounts of the manifest in force.
func TestAccountsAreShownWithShareAndRefusals(t *testing.T) {
	got := encodeAccounts([]cell.AccountView{
		{View: account.View{Terms: manifest.Terms{Name: "a", Weight: 3}, ExcessFor: 1500 * time.Millisecond}, Waiting: 4},
		{View: account.View{Terms: manifest.Terms{Name: "b", Weight: 9}}},
		{View: account.View{Terms: manifest.Terms{Name: "c", Weight: 5}, Removed: true}},
	}, map[string]uint64{"b": 7})
	if len(got) != 3 || math.Abs(got[0].Share-0.25) > 1e-9 || math.Abs(got[1].Share-0.75) > 1e-9 || got[2].Share != 0 {
		t.Fatalf("%+v", got)
	}
	if got[0].ExcessFor != "1.5s" || got[0].Waiting != 4 || got[0].Refused != 0 || got[1].Refused != 7 || !got[2].Removed {
		t.Errorf("%+v", got)
	}
	if encodeAccounts(nil, nil) != nil {
		t.Error("a cell without accounts shows some")
	}
}
