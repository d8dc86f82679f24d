// Package admissionwire converts decisions on new jobs to and from their msgpack form,
// which both the pongs of owners and the owner's row use.
package admissionwire

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/admission"
)

// Refusal is the msgpack form of an admission.Refusal.
type Refusal struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Priority   int
	RetryAfter time.Duration
}

// EncodePriorities converts the refusals by priority.
func EncodePriorities(d admission.Decision) []Refusal {
	var out []Refusal
	for _, r := range d.Priorities {
		out = append(out, Refusal{Priority: r.Priority, RetryAfter: r.RetryAfter})
	}
	return out
}

// Decode converts the parts of a decision back.
func Decode(priorities []Refusal, longRunning time.Duration) admission.Decision {
	out := admission.Decision{LongRunning: longRunning}
	for _, r := range priorities {
		out.Priorities = append(out.Priorities, admission.Refusal{Priority: r.Priority, RetryAfter: r.RetryAfter})
	}
	return out
}
