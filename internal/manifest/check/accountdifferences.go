package check

import (
	"fmt"
	"maps"
	"slices"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

func (c *checker) compareAccounts(inForce *manifest.Manifest) {
	switch {
	case c.next.HasAccounts && !inForce.HasAccounts:
		c.add(SeverityWarning, KindAccountsAdded, whole(), "the deployment gets accounts: calls without a key get 401, except on public queues; "+
			"jobs that were accepted before stay visible to all accounts; hosts of releases without accounts check no keys")
	case !c.next.HasAccounts && inForce.HasAccounts:
		c.add(SeverityWarning, KindAccountsRemoved, whole(), "the deployment has no accounts any more: calls need no key, and everybody sees the jobs of all accounts")
	}
	moved := c.compareKeyOwners(inForce)
	pairs(c.next.Accounts, inForce.Accounts, accountName,
		func(a *manifest.Account) {
			c.add(SeverityNote, KindAccountAdded, accountSubject(a.Name), "added with %s, weight %v and cap: %s", plural(len(a.KeyHashes), "key"), a.Weight, sizeText(a.Cap))
		},
		c.compareAccount,
		func(a *manifest.Account) { c.addRemovedAccount(a, moved[a.Name]) })
}

// addRemovedAccount reports that an account was removed; moved is the number of its keys that
// other accounts get.
func (c *checker) addRemovedAccount(a *manifest.Account, moved int) {
	const goOn = "its accepted jobs go on with the cap of their acceptance"
	if !c.next.HasAccounts {
		c.add(SeverityNote, KindAccountRemoved, accountSubject(a.Name), "removed with %s; %s", plural(len(a.KeyHashes), "key"), goOn)
		return
	}
	keys := fmt.Sprintf("%s; calls with them get 401", plural(len(a.KeyHashes), "key"))
	if moved > 0 {
		keys = fmt.Sprintf("%s, of which other accounts get %d; calls with the rest get 401", plural(len(a.KeyHashes), "key"), moved)
	}
	c.add(SeverityWarning, KindAccountRemoved, accountSubject(a.Name), "removed with %s; %s, but nobody can look them up or cancel them", keys, goOn)
}

// compareKeyOwners reports keys that another account gets, and returns their number by the
// account that had them. Their clients no longer see the jobs that they submitted.
func (c *checker) compareKeyOwners(inForce *manifest.Manifest) map[string]int {
	owner := make(map[manifest.KeyHash]string)
	for i := range inForce.Accounts {
		for _, key := range inForce.Accounts[i].KeyHashes {
			owner[key] = inForce.Accounts[i].Name
		}
	}
	total := make(map[string]int)
	for i := range c.next.Accounts {
		a := &c.next.Accounts[i]
		from := make(map[string]int)
		for _, key := range a.KeyHashes {
			if old, known := owner[key]; known && old != a.Name {
				from[old]++
				total[old]++
			}
		}
		for _, old := range slices.Sorted(maps.Keys(from)) {
			c.add(SeverityWarning, KindKeysMoved, accountSubject(a.Name), "it gets %s of account %.200q: clients with such a key no longer see the jobs of that account",
				plural(from[old], "key"), old)
		}
	}
	return total
}

func (c *checker) compareAccount(old, a *manifest.Account) {
	subject := accountSubject(a.Name)
	if old.Weight != a.Weight {
		c.add(SeverityNote, KindAccountChanged, subject, "weight: %v becomes %v jobs a second; counts for jobs that are accepted later", old.Weight, a.Weight)
	}
	if old.Cap != a.Cap {
		effect := "waiting tasks may start at once"
		if lowered(old.Cap, a.Cap) {
			effect = "running work is not stopped, and nothing of the account starts until it fits again"
		}
		c.add(SeverityNote, KindAccountChanged, subject, "cap: %s becomes %s; %s", sizeText(old.Cap), sizeText(a.Cap), effect)
	}
	c.compareKeys(old, a)
}

// compareKeys reports how many keys of an account were added and withdrawn.
func (c *checker) compareKeys(old, a *manifest.Account) {
	added, withdrawn := missingKeys(a, old), missingKeys(old, a)
	kept := len(old.KeyHashes) - withdrawn
	severity, effect := SeverityNote, ""
	switch {
	case added == 0 && withdrawn == 0:
		return
	case withdrawn == 0:
		effect = "new keys work once the version is in force"
	case added+kept == 0:
		severity, effect = SeverityWarning, "withdrawn keys stop working; accepted jobs go on, but nobody can look them up or cancel them"
	case kept == 0:
		severity, effect = SeverityWarning, "clients that still use an old key get 401; add new keys in an earlier version than the one that withdraws the old ones"
	default:
		effect = "withdrawn keys stop working; accepted jobs go on"
	}
	c.add(severity, KindKeysChanged, accountSubject(a.Name), "keys: %d added, %d withdrawn, %d kept; %s", added, withdrawn, kept, effect)
}

// lowered reports whether a cap is lower in a resource. 0 is no limit.
func lowered(old, current job.Size) bool {
	lower := func(old, current int64) bool { return current != 0 && (old == 0 || current < old) }
	return lower(old.MilliCores, current.MilliCores) || lower(old.MemoryMB, current.MemoryMB) || lower(old.Accelerators, current.Accelerators)
}

// missingKeys returns how many keys of an account another version of it does not have.
func missingKeys(of, in *manifest.Account) int {
	present := make(map[manifest.KeyHash]bool, len(in.KeyHashes))
	for _, key := range in.KeyHashes {
		present[key] = true
	}
	n := 0
	for _, key := range of.KeyHashes {
		n += flag(!present[key])
	}
	return n
}
