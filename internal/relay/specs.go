package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

const (
	// maxSpecs bounds the specs that are kept for one relay.
	maxSpecs = 1024
	// minSpecBytes is the length below which a spec is sent with every start.
	minSpecBytes = 64
	// specWait is how long a relay waits for a spec that was left out. The start that
	// carries it was sent before, but may be handled later.
	specWait = 30 * time.Millisecond
)

// specKey identifies the spec of a job. The hash tells apart the specs of jobs that
// had the same ID one after the other.
type specKey struct {
	job workload.JobID
	sum uint64
}

// specCache keeps the specs of jobs, so that a spec is sent to a relay once and not with
// each of the job's starts. The relay keeps the specs, and the owner which ones it has
// sent.
type specCache struct {
	mu    sync.Mutex
	specs map[specKey]string
	// order holds the keys, the oldest first.
	order []specKey
	// added is closed and replaced when a spec is added.
	added chan struct{}
}

func newSpecCache() *specCache {
	return &specCache{specs: make(map[specKey]string), added: make(chan struct{})}
}

// add adds a spec and returns false, or returns true if it was there already.
func (c *specCache) add(key specKey, spec string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.specs[key]; ok {
		return true
	}
	if len(c.order) == maxSpecs {
		delete(c.specs, c.order[0])
		c.order = c.order[1:]
	}
	c.specs[key] = spec
	c.order = append(c.order, key)
	close(c.added)
	c.added = make(chan struct{})
	return false
}

func (c *specCache) find(key specKey) (spec string, ok bool, added <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	spec, ok = c.specs[key]
	return spec, ok, c.added
}

// abbreviate leaves the spec of a start out if the relay has been sent it.
func (c *specCache) abbreviate(m *message.WorkerStart) bool {
	if len(m.Start.Spec) < minSpecBytes || len(m.Start.Spec) > workload.MaxSpecBytes {
		return false
	}
	m.SpecSum = xxhash.Sum64String(m.Start.Spec)
	if !c.add(specKey{m.Start.Task.Job, m.SpecSum}, "") {
		return false
	}
	m.Start.Spec = ""
	return true
}

// complete adds the spec to a start from which it was left out, and keeps the spec of
// one that carries it. It returns false if the spec does not arrive in time.
func (c *specCache) complete(ctx context.Context, m *message.WorkerStart) bool {
	if m.SpecSum == 0 {
		return true
	}
	key := specKey{m.Start.Task.Job, m.SpecSum}
	if m.Start.Spec != "" {
		if len(m.Start.Spec) <= workload.MaxSpecBytes && xxhash.Sum64String(m.Start.Spec) == m.SpecSum {
			c.add(key, m.Start.Spec)
		}
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, specWait)
	defer cancel()
	for {
		spec, ok, added := c.find(key)
		if ok {
			m.Start.Spec = spec
			return true
		}
		select {
		case <-added:
		case <-ctx.Done():
			return false
		}
	}
}
