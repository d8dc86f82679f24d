package cell

import (
	"slices"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// runSet holds the runs of a worker in the order in which they were added, so
// that the cell is deterministic.
type runSet struct {
	byTask map[workload.TaskID]*run
	list   []*run
}

func newRunSet() runSet { return runSet{byTask: make(map[workload.TaskID]*run)} }

func (s *runSet) get(id workload.TaskID) (*run, bool) {
	r, ok := s.byTask[id]
	return r, ok
}

func (s *runSet) add(r *run) {
	s.byTask[r.task.id] = r
	s.list = append(s.list, r)
}

// remove removes a run, and reports whether it was present.
func (s *runSet) remove(r *run) bool {
	if s.byTask[r.task.id] != r {
		return false
	}
	delete(s.byTask, r.task.id)
	if i := slices.Index(s.list, r); i >= 0 {
		s.list = slices.Delete(s.list, i, i+1)
	}
	return true
}

func (s *runSet) len() int { return len(s.list) }

// all returns a copy of the runs, for loops that remove some of them.
func (s *runSet) all() []*run { return slices.Clone(s.list) }
