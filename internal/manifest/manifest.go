// Package manifest defines the operator's configuration of queues and services
// and holds the version that is in force on a host.
package manifest

import (
	"strings"
	"time"
)

// Manifest is one version of the configuration.
type Manifest struct {
	// Version orders the manifests: a larger version is newer.
	Version  uint64
	Queues   []Queue
	Services []Service
	Limits   Limits
	// HasAccounts is set if the deployment has client accounts, even if Accounts is
	// empty. Calls then need a key, except those of public queues.
	HasAccounts bool
	Accounts    []Account
}

// Queue configures one job queue. Clients submit the jobs of the queue under its
// host name and path prefix.
type Queue struct {
	Name string
	// Host and Prefix are the host name and the path prefix in the URLs of the
	// queue's requests.
	Host   string
	Prefix string
	// Service is the name of the service whose workers run the queue's tasks.
	Service string
	// Priority orders the queues: 0 is the highest and may preempt the others. It
	// is not a job.Priority, which orders the jobs that teams submit.
	Priority int
	// MaxAttempts is the number of failed attempts of a task after which its
	// job fails.
	MaxAttempts int
	// SlackFactor and TargetLatency give the latency objective of a job:
	// SlackFactor times the duration of the job's critical path, plus
	// TargetLatency.
	SlackFactor   float64
	TargetLatency time.Duration
	// Timeout is the longest duration of a client's call.
	Timeout time.Duration
	// Advice configures the advice service. It is zero for a queue whose steps
	// may run on any worker.
	Advice Advice
	// Public is set if the calls of the queue need no key. Its jobs belong to no
	// account.
	Public bool
}

// Advice describes the advice service, which decides which workers may run a
// step of the queue and issues a ticket for each of them.
type Advice struct {
	// Fixed and PerWorker give the duration of an advice call: Fixed, plus
	// PerWorker for each worker in the call.
	Fixed     time.Duration
	PerWorker time.Duration
	// ValidFor is how long a ticket is valid.
	ValidFor time.Duration
}

// Needed reports whether a start of the queue's tasks needs a ticket.
func (a Advice) Needed() bool { return a != Advice{} }

// Cost returns how long an advice call about a number of workers takes.
func (a Advice) Cost(workers int) time.Duration {
	return a.Fixed + time.Duration(workers)*a.PerWorker
}

// Service is a named set of workers that run the tasks of queues. It is unrelated
// to plan.Service, the policy for requests to a team's service.
type Service struct {
	Name string
	// AdmissionCheck is set when the workers reject tasks that do not fit into
	// their free capacity.
	AdmissionCheck bool
	// Standby is set when the workers are switched off. The scheduler does not
	// read it.
	Standby bool
}

// Limits bounds the requests of clients.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Route returns the queue with the longest prefix that matches a request, and
// the rest of the path after that prefix. It returns nil if no queue matches.
func (m *Manifest) Route(host, path string) (queue *Queue, rest string) {
	for i := range m.Queues {
		q := &m.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if queue == nil || len(q.Prefix) > len(queue.Prefix) {
			queue = q
		}
	}
	if queue == nil {
		return nil, ""
	}
	return queue, path[len(queue.Prefix):]
}
