package owner

import (
	"github.com/uber-go/tally/v4"

	"cicadabarrow.example/cicadabarrow/internal/cell"
)

// maxAccountMetrics limits the accounts with metrics of their own: the first ones that
// this owner has seen.
const maxAccountMetrics = 64

// accountMetrics are the gauges of the accounts, by name.
type accountMetrics struct {
	scope  tally.Scope
	scopes map[string]tally.Scope
}

func newAccountMetrics(scope tally.Scope) *accountMetrics {
	return &accountMetrics{scope: scope, scopes: make(map[string]tally.Scope)}
}

// update sets the gauges of the accounts. Those of an account that is gone become 0.
func (m *accountMetrics) update(accounts []cell.AccountView) {
	if len(accounts) == 0 && len(m.scopes) == 0 {
		return
	}
	views := make(map[string]cell.AccountView, len(accounts))
	for i := range accounts {
		a := &accounts[i]
		views[a.Name] = *a
		if _, known := m.scopes[a.Name]; !known && len(m.scopes) < maxAccountMetrics {
			m.scopes[a.Name] = m.scope.Tagged(map[string]string{"account": a.Name})
		}
	}
	for name, scope := range m.scopes {
		v := views[name]
		scope.Gauge("account_milli_cores").Update(float64(v.Use.MilliCores))
		scope.Gauge("account_memory_mb").Update(float64(v.Use.MemoryMB))
		scope.Gauge("account_accelerators").Update(float64(v.Use.Accelerators))
		scope.Gauge("account_tasks_waiting").Update(float64(v.Waiting))
		scope.Gauge("account_tasks_beyond_cap").Update(float64(v.CapWaiting))
		scope.Gauge("account_jobs_in_excess").Update(float64(v.InExcess))
	}
}
