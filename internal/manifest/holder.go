package manifest

import "sync/atomic"

// Holder stores the manifest in force on a host. A manifest is replaced only by a
// newer version. Holder is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[indexed]
}

// indexed is a manifest with its accounts by the hashes of their keys.
type indexed struct {
	*Manifest
	accounts map[KeyHash]*Account
}

// NewHolder returns a holder without a manifest.
func NewHolder() *Holder { return &Holder{} }

// Current returns the manifest in force, or nil if there is none yet.
func (h *Holder) Current() *Manifest {
	if current := h.current.Load(); current != nil {
		return current.Manifest
	}
	return nil
}

// Account returns the account with a key in the manifest in force, or nil if there is
// none, and that manifest.
func (h *Holder) Account(key KeyHash) (*Account, *Manifest) {
	current := h.current.Load()
	if current == nil {
		return nil, nil
	}
	return current.accounts[key], current.Manifest
}

// Adopt puts a manifest in force if it is newer than the current one, and
// reports whether it did.
func (h *Holder) Adopt(m *Manifest) bool {
	next := &indexed{Manifest: m}
	for {
		old := h.current.Load()
		if old != nil && old.Version >= m.Version {
			return false
		}
		if next.accounts == nil {
			next.accounts = indexKeys(m.Accounts)
		}
		if h.current.CompareAndSwap(old, next) {
			return true
		}
	}
}

func indexKeys(accounts []Account) map[KeyHash]*Account {
	out := make(map[KeyHash]*Account)
	for i := range accounts {
		for _, key := range accounts[i].KeyHashes {
			out[key] = &accounts[i]
		}
	}
	return out
}
