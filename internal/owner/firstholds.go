package owner

import (
	"slices"
	"time"
)

const (
	// maxFirstHolds limits the first hold calls without an answer.
	maxFirstHolds = 64
	// firstHoldPatience is how long a first hold call counts, so that workers that do
	// not answer delay the others no longer.
	firstHoldPatience = 100 * time.Millisecond
)

// firstHolds paces the first hold calls to the workers. A new owner would otherwise
// call all workers at once, and its renewals and its answers to pings would wait for
// the processor behind these calls.
type firstHolds struct {
	// unanswered holds the loops whose first call has no answer yet.
	unanswered []*holdLoop
}

// mayBegin reports whether the first call of another loop may begin.
func (f *firstHolds) mayBegin(now time.Time) bool {
	f.unanswered = slices.DeleteFunc(f.unanswered, func(h *holdLoop) bool {
		return h.answered || now.Sub(h.begunAt) >= firstHoldPatience
	})
	return len(f.unanswered) < maxFirstHolds
}

// begin records that the first call of a loop begins.
func (f *firstHolds) begin(h *holdLoop) { f.unanswered = append(f.unanswered, h) }
