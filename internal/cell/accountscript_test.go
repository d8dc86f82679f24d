package cell_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

// setAccount changes an account, adds it, or removes it, by a new version of the
// manifest. A cap that is not given is no limit, and a weight that is not given is large.
func (s *script) setAccount(t *testing.T, name string, arg func(string) string, flag func(string) bool) {
	changed := *s.manifest
	changed.Version++
	changed.HasAccounts = true
	changed.Accounts = slices.DeleteFunc(slices.Clone(changed.Accounts), func(a manifest.Account) bool { return a.Name == name })
	if !flag("removed") {
		terms := manifest.Terms{Name: name, Weight: 1000}
		if v := arg("weight"); v != "" {
			weight, err := strconv.ParseFloat(v, 64)
			if err != nil {
				t.Fatal(err)
			}
			terms.Weight = weight
		}
		if v := arg("cores"); v != "" {
			terms.Cap.MilliCores = int64(parseInt(t, v)) * 1000
		}
		if v := arg("mb"); v != "" {
			terms.Cap.MemoryMB = int64(parseInt(t, v))
		}
		changed.Accounts = append(changed.Accounts, manifest.Account{Terms: terms})
	}
	s.manifest = &changed
	s.cell.SetManifest(s.manifest)
}

// terms returns the terms of the account of the next job.
func (s *script) terms(t *testing.T) manifest.Terms {
	if s.account == "" {
		return manifest.Terms{}
	}
	i := slices.IndexFunc(s.manifest.Accounts, func(a manifest.Account) bool { return a.Name == s.account })
	if i < 0 {
		t.Fatalf("unknown account %q", s.account)
	}
	return s.manifest.Accounts[i].Terms
}

// accounts formats the accounts as operators see them.
func (s *script) accounts() string {
	var out strings.Builder
	for _, a := range s.cell.Overview(s.now).Accounts {
		size := func(z job.Size) string { return fmt.Sprintf("%dm/%dMB", z.MilliCores, z.MemoryMB) }
		fmt.Fprintf(&out, "%s use=%s cap=%s waiting=%d for_cap=%d in_excess=%d excess_for=%v removed=%v\n",
			a.Name, size(a.Use), size(a.Cap), a.Waiting, a.CapWaiting, a.InExcess, a.ExcessFor, a.Removed)
	}
	return out.String()
}
