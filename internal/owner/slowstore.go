package owner

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
)

// slowStore tells whether commits take so long, or fail, that starts should not
// wait for them.
type slowStore struct {
	slow bool
}

// observe notes how a commit went, and reports whether the store is slow.
func (s *slowStore) observe(d time.Duration, err error) bool {
	switch {
	case err != nil || d >= cell.SlowCommit:
		s.slow = true
	case d <= cell.QuickCommit:
		s.slow = false
	}
	return s.slow
}
