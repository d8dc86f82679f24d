package host

import "sync"

// malformedRows holds the errors of the operator's rows that cannot be decoded. A row is
// read again and again, also from other hosts, and is logged only when its error changes.
// The zero value is ready to use.
type malformedRows struct {
	mu   sync.Mutex
	errs map[string]string
}

// changed records the outcome of decoding a row, and reports whether it is a new error.
func (m *malformedRows) changed(name string, err error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		delete(m.errs, name)
		return false
	}
	if m.errs[name] == err.Error() {
		return false
	}
	if m.errs == nil {
		m.errs = make(map[string]string)
	}
	m.errs[name] = err.Error()
	return true
}
