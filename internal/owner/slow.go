package owner

import "time"

const (
	// slowCommit is the time of a commit from which on starts go ahead of their
	// record, and quickCommit that at which they wait for it again.
	slowCommit  = 80 * time.Millisecond
	quickCommit = 40 * time.Millisecond
)

// slowStore tells whether commits take so long, or fail, that starts should not
// wait for them.
type slowStore struct {
	is bool
}

// took notes how a commit went, and reports whether the store is slow.
func (s *slowStore) took(d time.Duration, err error) bool {
	switch {
	case err != nil || d >= slowCommit:
		s.is = true
	case d <= quickCommit:
		s.is = false
	}
	return s.is
}
