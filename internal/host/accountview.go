package host

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/cell"
)

// encodeAccounts returns the accounts for operators, with the jobs that hosts have refused.
func encodeAccounts(accounts []cell.AccountView, refused map[string]uint64) []api.CellAccount {
	sum := 0.0
	for i := range accounts {
		if !accounts[i].Removed {
			sum += accounts[i].Weight
		}
	}
	var out []api.CellAccount
	for i := range accounts {
		a := &accounts[i]
		v := api.CellAccount{
			Name: a.Name, Removed: a.Removed, Weight: a.Weight, Cap: api.Size(a.Cap), Use: api.Size(a.Use), Jobs: a.Jobs,
			Waiting: a.Waiting, CapWaiting: a.CapWaiting, InExcess: a.InExcess,
			ExcessFor: a.ExcessFor.Round(time.Millisecond).String(), OverShare: a.OverShare, Refused: refused[a.Name],
		}
		if !a.Removed && sum > 0 {
			v.Share = a.Weight / sum
		}
		out = append(out, v)
	}
	return out
}
