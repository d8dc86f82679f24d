package owner

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
)

// slowStore tells whether commits fail or take so long that starts should be sent
// before their records are durable.
type slowStore struct {
	slow bool
}

// observe records the duration and result of a commit, and reports whether the store
// is slow. Between the two thresholds it keeps its previous value.
func (s *slowStore) observe(d time.Duration, err error) bool {
	switch {
	case err != nil || d >= cell.SlowCommit:
		s.slow = true
	case d <= cell.QuickCommit:
		s.slow = false
	}
	return s.slow
}
