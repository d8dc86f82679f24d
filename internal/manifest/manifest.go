// Package manifest holds the operator's configuration of queues and services,
// and the copy of it that a host has in force.
package manifest

import (
	"strings"
	"time"
)

// Manifest is one version of the configuration.
type Manifest struct {
	// Version orders manifests; a larger one is newer.
	Version  uint64
	Queues   []Queue
	Services []Service
	Limits   Limits
}

// Queue accepts jobs under a host name and a path prefix.
type Queue struct {
	Name string
	// Host and Prefix select the queue of a request.
	Host   string
	Prefix string
	// Service names the workers that run the queue's tasks.
	Service string
	// Priority orders queues; 0 comes first and may preempt the others.
	Priority int
	// MaxAttempts is how often a task may fail before its job fails.
	MaxAttempts int
	// SlackFactor and TargetLatency make the objective of a job: the factor
	// times its longest chain of work, and the target more.
	SlackFactor   float64
	TargetLatency time.Duration
	// Timeout bounds a call of a client.
	Timeout time.Duration
	// Advice is zero for a queue whose steps may run on any worker.
	Advice Advice
}

// Advice describes the service that allows workers for the steps of a queue.
type Advice struct {
	// Fixed and PerWorker are how long a question takes.
	Fixed     time.Duration
	PerWorker time.Duration
	// ValidFor is how long a ticket lasts.
	ValidFor time.Duration
}

// Needed reports whether the queue's starts need a ticket.
func (a Advice) Needed() bool { return a != Advice{} }

// Cost returns how long a question about some workers takes.
func (a Advice) Cost(workers int) time.Duration {
	return a.Fixed + time.Duration(workers)*a.PerWorker
}

// Service is a pool of workers.
type Service struct {
	Name string
	// AdmissionCheck is set when workers reject what does not fit.
	AdmissionCheck bool
	// Standby workers are switched off.
	Standby bool
}

// Limits bound the requests of clients.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Route returns the queue with the longest prefix that matches a request, and
// the rest of the path after the prefix.
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

// Queue returns the queue of a name, or nil.
func (m *Manifest) Queue(name string) *Queue {
	for i := range m.Queues {
		if m.Queues[i].Name == name {
			return &m.Queues[i]
		}
	}
	return nil
}
