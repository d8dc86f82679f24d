package owner

import (
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
)

const (
	// maxFirstHolds limits the first hold calls without an answer.
	maxFirstHolds = 64
	// firstHoldTimeout is how long a first hold call counts, so that workers that do
	// not answer delay the others no longer.
	firstHoldTimeout = 100 * time.Millisecond
)

// firstHolds paces the first hold calls to the workers. A new owner would otherwise
// call all workers at once, and its renewals and its answers to pings would wait for
// the processor behind these calls.
type firstHolds struct {
	// waiting holds the workers whose address is known and whose loop may not begin yet.
	waiting []cell.WorkerID
	// unanswered holds the loops whose first call has no answer yet.
	unanswered []*holdLoop
}

// add adds workers whose address has become known.
func (f *firstHolds) add(workers []cell.WorkerID) { f.waiting = append(f.waiting, workers...) }

// next removes and returns the worker whose loop may begin next. It returns false if
// there is none, or if too many first calls have no answer yet.
func (f *firstHolds) next(now time.Time) (cell.WorkerID, bool) {
	if len(f.waiting) == 0 || !f.mayBegin(now) {
		return "", false
	}
	id := f.waiting[0]
	f.waiting = f.waiting[1:]
	return id, true
}

// mayBegin reports whether the first call of another loop may begin.
func (f *firstHolds) mayBegin(now time.Time) bool {
	f.unanswered = slices.DeleteFunc(f.unanswered, func(h *holdLoop) bool {
		return h.answered || now.Sub(h.begunAt) >= firstHoldTimeout
	})
	return len(f.unanswered) < maxFirstHolds
}

// begin records that the first call of a loop begins.
func (f *firstHolds) begin(h *holdLoop) { f.unanswered = append(f.unanswered, h) }
