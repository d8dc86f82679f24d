package admission

import (
	"math"
	"time"
)

// allPriorities is the priority of a ServiceRefusal without a service, which concerns all
// jobs. Hosts of earlier releases find no job that it concerns.
const allPriorities = math.MinInt32

// WithAllRefused returns the decision with all new jobs refused, whatever their service,
// priority and slack.
func (d Decision) WithAllRefused(retry time.Duration) Decision {
	d.Services = append(d.Services[:len(d.Services):len(d.Services)], ServiceRefusal{Priority: allPriorities, Wait: retry, RetryAfter: retry})
	return d
}

// allRefused returns after how long jobs should be submitted again if all are refused.
func (d Decision) allRefused() (time.Duration, bool) {
	for _, r := range d.Services {
		if r.Service == "" && r.Priority == allPriorities {
			return r.RetryAfter, true
		}
	}
	return 0, false
}
