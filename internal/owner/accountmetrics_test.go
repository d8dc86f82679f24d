package owner

import (
	"fmt"
	"testing"

	"github.com/uber-go/tally/v4"

	"cicadabarrow.example/cicadabarrow/internal/account"
	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

// The number of metrics must not grow with the number of accounts, and an account that is
// gone must not keep its last values.
func TestAccountMetricsAreBounded(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newAccountMetrics(scope)
	var accounts []cell.AccountView
	for i := range 5 * maxAccountMetrics {
		accounts = append(accounts, cell.AccountView{View: account.View{
			Terms: manifest.Terms{Name: fmt.Sprintf("a%03d", i)}, Use: job.Size{MilliCores: 100},
		}, Waiting: 3})
	}
	m.update(accounts)
	m.update(accounts[1:])
	uses := 0
	for _, g := range scope.Snapshot().Gauges() {
		if g.Name() != "account_milli_cores" {
			continue
		}
		uses++
		want := 100.0
		if g.Tags()["account"] == "a000" {
			want = 0
		}
		if g.Value() != want {
			t.Errorf("account %s uses %v, want %v", g.Tags()["account"], g.Value(), want)
		}
	}
	if uses != maxAccountMetrics {
		t.Errorf("%d accounts have metrics", uses)
	}
}
