package cell

import (
	"cmp"
	"slices"
	"time"
)

// usableWorkers computes the workers that may get starts, at most once per
// round of placement, and not at all if no step needs the full list.
type usableWorkers struct {
	cell *Cell
	now  time.Time
	// computed is set once byService has been computed in this round.
	computed  bool
	byService map[string][]*worker
	// buffer is reused for the list of eligible workers of one step.
	buffer []*worker
	// recentByService holds the workers that have been usable at recentAt or since.
	recentByService map[string][]*worker
	recentAt        time.Time
}

func newUsableWorkers(c *Cell) usableWorkers {
	return usableWorkers{cell: c, byService: make(map[string][]*worker), recentByService: make(map[string][]*worker)}
}

// begin starts a round.
func (u *usableWorkers) begin(now time.Time) {
	u.now = now
	u.computed = false
}

// of returns the usable workers of a service, sorted by ID.
func (u *usableWorkers) of(service string) []*worker {
	if !u.computed {
		u.computed = true
		u.collect(u.byService)
	}
	return u.byService[service]
}

// recentInterval is how long a list of usable workers serves for questions.
const recentInterval = 100 * time.Millisecond

// recent returns the workers of a service that may be usable, sorted by ID. Most
// rounds of placement ask about a few workers, so the list serves for many rounds:
// the caller checks the workers that it uses.
func (u *usableWorkers) recent(service string) []*worker {
	if u.now.Sub(u.recentAt) >= recentInterval {
		u.recentAt = u.now
		u.collect(u.recentByService)
	}
	return u.recentByService[service]
}

// addRecent adds a worker that has become usable to the list of recent.
func (u *usableWorkers) addRecent(w *worker) {
	workers := u.recentByService[w.registration.Service]
	at, found := findWorker(workers, w.id)
	if found {
		workers[at] = w // it may have been forgotten and registered anew
		return
	}
	u.recentByService[w.registration.Service] = slices.Insert(workers, at, w)
}

// collect replaces the lists of the usable workers.
func (u *usableWorkers) collect(byService map[string][]*worker) {
	for known, workers := range byService {
		byService[known] = workers[:0]
	}
	for _, w := range u.cell.sortedWorkers {
		if u.cell.usable(u.now, w) {
			byService[w.registration.Service] = append(byService[w.registration.Service], w)
		}
	}
}

// findWorker returns the index of a worker among workers sorted by ID, or where it
// would be inserted.
func findWorker(workers []*worker, id WorkerID) (at int, found bool) {
	return slices.BinarySearchFunc(workers, id, func(w *worker, id WorkerID) int { return cmp.Compare(w.id, id) })
}
