package owner

// rejectedEntries holds the names of the registrations that cannot be decoded. An entry
// may change with every heartbeat and is logged only once.
type rejectedEntries struct {
	names map[string]bool
}

// add adds a name and reports whether it is new.
func (e *rejectedEntries) add(name string) bool {
	if e.names[name] {
		return false
	}
	if e.names == nil {
		e.names = make(map[string]bool)
	}
	e.names[name] = true
	return true
}

func (e *rejectedEntries) remove(name string) { delete(e.names, name) }
