// Package admissionwire converts decisions on new jobs to and from their msgpack form,
// which both the pongs of owners and the owner's row use.
package admissionwire

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/account"
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

// Excess is the msgpack form of the part of a decision that concerns accounts in excess.
// It is left out without any.
type Excess struct {
	Short    []ServiceShortage `msgpack:"short"`
	Accounts []AccountExcess   `msgpack:"accounts"`
}

// ServiceShortage is the msgpack form of an admission.ServiceShortage.
type ServiceShortage struct {
	Service   string        `msgpack:"service"`
	Priority  int           `msgpack:"priority,omitempty"`
	OverShare bool          `msgpack:"over,omitempty"`
	Wait      time.Duration `msgpack:"wait"`
}

// AccountExcess is the msgpack form of an account.Excess.
type AccountExcess struct {
	Name      string        `msgpack:"name"`
	OverShare bool          `msgpack:"over,omitempty"`
	For       time.Duration `msgpack:"for"`
}

// EncodeExcess converts what concerns accounts in excess. It returns nil if nothing does.
func EncodeExcess(d admission.Decision) *Excess {
	if len(d.Short) == 0 {
		return nil
	}
	out := new(Excess)
	for _, s := range d.Short {
		out.Short = append(out.Short, ServiceShortage(s))
	}
	for _, e := range d.InExcess {
		out.Accounts = append(out.Accounts, AccountExcess{Name: e.Name, OverShare: e.OverShare, For: e.For})
	}
	return out
}

// AddExcess adds what concerns accounts in excess to a decision.
func AddExcess(d *admission.Decision, e *Excess) {
	if e == nil {
		return
	}
	for _, s := range e.Short {
		d.Short = append(d.Short, admission.ServiceShortage(s))
	}
	for _, a := range e.Accounts {
		d.InExcess = append(d.InExcess, account.Excess{Name: a.Name, OverShare: a.OverShare, For: a.For})
	}
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
