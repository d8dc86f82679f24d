package owner

import "cicadabarrow.example/cicadabarrow/internal/cell"

// malformedRegistrations holds the names of the registrations that cannot be decoded. A
// registration may change with every heartbeat and is logged only once.
type malformedRegistrations struct {
	names map[string]bool
}

// add adds a name and reports whether it is new.
func (r *malformedRegistrations) add(name string) bool {
	if r.names[name] {
		return false
	}
	if r.names == nil {
		r.names = make(map[string]bool)
	}
	r.names[name] = true
	return true
}

// retain removes the names that a complete list of registrations lacks.
func (r *malformedRegistrations) retain(listed map[cell.WorkerID]bool) {
	for name := range r.names {
		if !listed[cell.WorkerID(name)] {
			delete(r.names, name)
		}
	}
}

func (r *malformedRegistrations) remove(name string) { delete(r.names, name) }
