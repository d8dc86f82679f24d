package manifest_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/rapidtest"
)

// TestMain fixes the seed, so that every run of CI gives the same result.
func TestMain(m *testing.M) {
	rapidtest.Main(m, map[string]string{"seed": "7", "checks": "500", "nofailfile": "true"})
}

// TestNoOrderOfManifestsRevivesAKey delivers versions in any order, late and repeatedly. The
// keys that are found must always be those of the newest version delivered so far, so that
// a withdrawn key is never found again unless a later version adds it.
func TestNoOrderOfManifestsRevivesAKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const keys = 5
		// The version of an element is its index, and its value the keys as a bit set.
		contents := rapid.SliceOfN(rapid.IntRange(0, 1<<keys-1), 2, 8).Draw(t, "contents")
		order := rapid.SliceOfN(rapid.IntRange(1, len(contents)-1), 1, 20).Draw(t, "order")
		h := manifest.NewHolder()
		newest := 0
		for _, version := range order {
			m := &manifest.Manifest{Version: uint64(version), HasAccounts: true}
			for key := range keys {
				if contents[version]&(1<<key) != 0 {
					m.Accounts = append(m.Accounts, account(key))
				}
			}
			if adopted := h.Adopt(m); adopted != (version > newest) {
				t.Fatalf("version %d after version %d: adopted %v", version, newest, adopted)
			}
			newest = max(newest, version)
			for key := range keys {
				found, inForce := h.Account(account(key).KeyHashes[0])
				if valid := contents[newest]&(1<<key) != 0; (found != nil) != valid || found != nil && found.Name != account(key).Name {
					t.Fatalf("key %d is found as %+v with version %d in force; valid: %v", key, found, newest, valid)
				}
				if inForce != h.Current() || inForce.Version != uint64(newest) {
					t.Fatalf("version %d is in force, want %d", inForce.Version, newest)
				}
			}
		}
	})
}

// account returns the account with a key. Two keys belong to each account.
func account(key int) manifest.Account {
	return manifest.Account{
		Terms:     manifest.Terms{Name: fmt.Sprint("account-", key/2)},
		KeyHashes: []manifest.KeyHash{manifest.HashKey(fmt.Sprint("key-", key))},
	}
}
