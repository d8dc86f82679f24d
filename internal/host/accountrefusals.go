package host

import (
	"maps"
	"net/netip"
	"slices"
	"sync"

	"github.com/uber-go/tally/v4"

	"cicadabarrow.example/cicadabarrow/internal/message"
)

const (
	// maxCountedAccounts limits the accounts whose refused jobs are counted apart. Those
	// of all others count as otherAccounts.
	maxCountedAccounts = 64
	otherAccounts      = "other"
)

// accountRefusals counts the jobs that this host has refused for the limits of their
// account, and holds what the other hosts have counted.
type accountRefusals struct {
	scope tally.Scope
	mu    sync.Mutex
	own   map[string]uint64
	// reported has what the pings of each host have reported last.
	reported map[netip.AddrPort][]message.AccountRefusals
}

func newAccountRefusals(scope tally.Scope) *accountRefusals {
	return &accountRefusals{scope: scope, own: make(map[string]uint64), reported: make(map[netip.AddrPort][]message.AccountRefusals)}
}

// add counts a refused job of an account.
func (a *accountRefusals) add(account string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.own[account]; !known && len(a.own) >= maxCountedAccounts {
		account = otherAccounts
	}
	a.own[account]++
	a.scope.Tagged(map[string]string{"account": account}).Counter("account_jobs_refused").Inc(1)
}

// list returns what this host has counted, sorted by account.
func (a *accountRefusals) list() []message.AccountRefusals {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []message.AccountRefusals
	for _, name := range slices.Sorted(maps.Keys(a.own)) {
		out = append(out, message.AccountRefusals{Account: name, Jobs: a.own[name]})
	}
	return out
}

// note records what a host has counted.
func (a *accountRefusals) note(host netip.AddrPort, refusals []message.AccountRefusals) {
	if len(refusals) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reported[host] = refusals[:min(len(refusals), maxCountedAccounts+1)]
}

// total returns what the given hosts and this one have counted, by account. What other
// hosts have reported is forgotten.
func (a *accountRefusals) total(hosts []netip.AddrPort) map[string]uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.reported, func(host netip.AddrPort, _ []message.AccountRefusals) bool { return !slices.Contains(hosts, host) })
	out := maps.Clone(a.own)
	for _, refusals := range a.reported {
		for _, r := range refusals {
			out[r.Account] += r.Jobs
		}
	}
	return out
}
