package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/standin"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// Balancer lists the entry hosts that take requests, as the platform's load
// balancer does.
type Balancer interface {
	// Up returns the entry hosts that are up in one data centre, or all of them
	// if the name is empty.
	Up(dataCentre string) []Member
}

// Load holds the callers and the submitters of a deployment. They record the
// outcomes that they receive in the audit of the deployment.
type Load struct {
	deployment *standin.Deployment
	callers    []*caller
	submitters []*submitter
	timers     timer.Service
}

// NewLoad returns a load that draws its random values from a seed. Key is the
// bearer key of all requests; if it is empty, none is sent.
func NewLoad(d *standin.Deployment, b Balancer, timers timer.Service, seed uint64, key string) *Load {
	l := &Load{deployment: d, timers: timers}
	client := &http.Client{Transport: newTransport(key, idleConns)}
	for i, dc := range d.DataCentres {
		l.submitters = append(l.submitters, &submitter{
			deployment: d, balancer: b, dataCentre: dc, client: client, timers: timers,
			random: rand.New(rand.NewPCG(seed, uint64(i))),
		})
		for n := range callersPerDataCentre {
			l.callers = append(l.callers, &caller{
				deployment: d, balancer: b, dataCentre: dc, timers: timers,
				client: &http.Client{Transport: newTransport(key, 1)},
				random: rand.New(rand.NewPCG(seed, uint64(1000*(i+1)+n))),
			})
		}
	}
	return l
}

// bearer adds a bearer key to each request.
type bearer struct {
	key  string
	next http.RoundTripper
}

func newTransport(key string, idle int) http.RoundTripper {
	next := &http.Transport{MaxIdleConnsPerHost: idle}
	if key == "" {
		return next
	}
	return &bearer{key: key, next: next}
}

// RoundTrip sends a request with the key.
func (b *bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.key)
	return b.next.RoundTrip(r)
}

// Run sends requests and submits jobs until the context ends, and waits for those
// in progress.
func (l *Load) Run(ctx context.Context) {
	var work sync.WaitGroup
	for _, s := range l.submitters {
		work.Go(func() { s.run(ctx) })
	}
	for _, c := range l.callers {
		work.Go(func() { c.run(ctx) })
	}
	work.Wait()
}

// JobsAccepted returns the number of accepted jobs.
func (l *Load) JobsAccepted() int {
	n := 0
	for _, s := range l.submitters {
		n += len(s.ids())
	}
	return n
}

// Drain cancels the services and waits until every accepted job has ended, for
// drainTimeout at most. It calls onRetry before each further round, and returns
// the jobs that have not ended.
func (l *Load) Drain(ctx context.Context, onRetry func()) []string {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	pending := make(map[string]*submitter)
	services := slices.Clone(l.submitters)
	for _, s := range l.submitters {
		for _, id := range s.ids() {
			pending[id] = s
		}
	}
	for {
		// A cancel is retried until the response confirms it: right after a
		// fault the workers may have no owner for some seconds.
		services = slices.DeleteFunc(services, func(s *submitter) bool {
			return s.cancel(fmt.Sprintf("%s-feed-1", s.dataCentre.Name))
		})
		for id, s := range pending {
			if status, ok := s.state(id); ok && job.State(status.State).Final() {
				delete(pending, id)
			}
		}
		if len(pending) == 0 || !sleep(ctx, l.timers, pollInterval) {
			break
		}
		onRetry()
	}
	var unfinished []string
	for id, s := range pending {
		status, _ := s.state(id)
		unfinished = append(unfinished, fmt.Sprintf("%s %+v", id, status))
	}
	return unfinished
}

// drainTimeout bounds the time until all jobs have ended after the load. It
// covers the leases of a lost worker, which have to expire before its tasks can
// run again.
const drainTimeout = 60 * time.Second
