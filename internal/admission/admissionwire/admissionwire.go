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

// ServiceRefusal is the msgpack form of an admission.ServiceRefusal. It is a map, so that
// further fields can be added.
type ServiceRefusal struct {
	Service     string        `msgpack:"service"`
	LongRunning bool          `msgpack:"lasting,omitempty"`
	Priority    int           `msgpack:"priority,omitempty"`
	Wait        time.Duration `msgpack:"wait"`
	RetryAfter  time.Duration `msgpack:"retry"`
}

// EncodePriorities converts the refusals that hosts of earlier releases read.
func EncodePriorities(d admission.Decision) []Refusal {
	var out []Refusal
	for _, r := range d.Priorities {
		out = append(out, Refusal{Priority: r.Priority, RetryAfter: r.RetryAfter})
	}
	return out
}

// EncodeServices converts the refusals by service.
func EncodeServices(d admission.Decision) []ServiceRefusal {
	var out []ServiceRefusal
	for _, r := range d.Services {
		out = append(out, ServiceRefusal{
			Service: r.Service, LongRunning: r.LongRunning, Priority: r.Priority, Wait: r.Wait, RetryAfter: r.RetryAfter,
		})
	}
	return out
}

// Decode converts the parts of a decision back. Earlier releases leave out services.
func Decode(priorities []Refusal, longRunning time.Duration, services []ServiceRefusal) admission.Decision {
	out := admission.Decision{LongRunning: longRunning}
	for _, r := range priorities {
		out.Priorities = append(out.Priorities, admission.Refusal{Priority: r.Priority, RetryAfter: r.RetryAfter})
	}
	for _, r := range services {
		out.Services = append(out.Services, admission.ServiceRefusal{
			Service: r.Service, LongRunning: r.LongRunning, Priority: r.Priority, Wait: r.Wait, RetryAfter: r.RetryAfter,
		})
	}
	return out
}
