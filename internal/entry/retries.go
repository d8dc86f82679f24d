package entry

import (
	"sync"

	"cicadabarrow.example/cicadabarrow/internal/upstream"
)

// retries bounds the retries of each service to a share of its requests.
type retries struct {
	policies Policies

	mu      sync.Mutex
	budgets map[string]*upstream.RetryBudget
}

func newRetries(policies Policies) *retries {
	return &retries{policies: policies, budgets: make(map[string]*upstream.RetryBudget)}
}

// share returns the share of a service's requests that may be retries.
func share(policies Policies, service string) float64 {
	if policy, _, known := policies.Service(service); known {
		return policy.RetryBudget
	}
	return defaultRetryShare
}

// maxBudgets bounds the services that are told apart; a name that no plan
// knows comes from a caller.
const maxBudgets = 1024

func (r *retries) budget(service string) *upstream.RetryBudget {
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

func (r *retries) earn(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).Earn(share(r.policies, service))
}

func (r *retries) spend(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).Spend()
}
