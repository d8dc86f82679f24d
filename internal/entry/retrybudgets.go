package entry

import (
	"sync"

	"cicadabarrow.example/cicadabarrow/internal/upstream"
)

// retryBudgets limits the retries of each service to a share of its requests.
type retryBudgets struct {
	policies Policies

	mu      sync.Mutex
	budgets map[string]*upstream.RetryBudget
}

func newRetryBudgets(policies Policies) *retryBudgets {
	return &retryBudgets{policies: policies, budgets: make(map[string]*upstream.RetryBudget)}
}

// retryShare returns the share of a service's requests that may be retries.
func retryShare(policies Policies, service string) float64 {
	if policy, _, known := policies.Service(service); known {
		return policy.RetryBudget
	}
	return defaultRetryShare
}

// maxBudgets limits the services that have a budget of their own. All other
// services share one, as do the names that the plan does not have, since these
// come from callers.
const maxBudgets = 1024

func (r *retryBudgets) budget(service string) *upstream.RetryBudget {
	if _, _, known := r.policies.Service(service); !known || len(r.budgets) >= maxBudgets {
		service = ""
	}
	b, ok := r.budgets[service]
	if !ok {
		b = upstream.NewRetryBudget()
		r.budgets[service] = b
	}
	return b
}

func (r *retryBudgets) earn(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).Earn(retryShare(r.policies, service))
}

func (r *retryBudgets) spend(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).Spend()
}
