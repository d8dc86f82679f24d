package manifest

import "sync/atomic"

// Holder stores the manifest in force on a host. A manifest is replaced only by a
// newer version. Holder is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Manifest]
}

// NewHolder returns a holder without a manifest.
func NewHolder() *Holder { return &Holder{} }

// Current returns the manifest in force, or nil if there is none yet.
func (h *Holder) Current() *Manifest { return h.current.Load() }

// Adopt puts a manifest in force if it is newer than the current one, and
// reports whether it did.
func (h *Holder) Adopt(m *Manifest) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Version >= m.Version {
			return false
		}
		if h.current.CompareAndSwap(old, m) {
			return true
		}
	}
}
