package owner

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
)

// slowStore tells whether commits take so long, or fail, that starts should not
// wait for them.
type slowStore struct {
	is bool
}

// took notes how a commit went, and reports whether the store is slow.
func (s *slowStore) took(d time.Duration, err error) bool {
	switch {
	case err != nil || d >= cell.SlowCommit:
		s.is = true
	case d <= cell.QuickCommit:
		s.is = false
	}
	return s.is
}
