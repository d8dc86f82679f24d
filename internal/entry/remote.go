package entry

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

const (
	// sameRegionRTT and otherRegionRTT are the minimum round-trip times to
	// another data centre of the region and to another region.
	sameRegionRTT  = 10 * time.Millisecond
	otherRegionRTT = 60 * time.Millisecond
)

// RemoteDataCentres records which other data centres had no free slots. One that
// refused a request gets no further request until about the retry time that it
// returned.
type RemoteDataCentres struct {
	location Location

	mu        sync.Mutex
	fullUntil map[string]time.Time
	random    *rand.Rand
}

// NewRemoteDataCentres returns the record of a host at the given location, in
// which no data centre is full.
func NewRemoteDataCentres(location Location) *RemoteDataCentres {
	seed := xxhash.Sum64String(location.DataCentre)
	return &RemoteDataCentres{location: location, fullUntil: make(map[string]time.Time), random: rand.New(rand.NewPCG(seed, 0))}
}

// remoteDataCentre is another data centre with its entry hosts.
type remoteDataCentre struct {
	name        string
	otherRegion bool
	entries     []platform.Host
}

// candidates returns the data centres that may have free slots for a service,
// those of this host's region first.
func (d *RemoteDataCentres) candidates(hosts []platform.Host, service string, now time.Time) []remoteDataCentre {
	d.mu.Lock()
	defer d.mu.Unlock()
	byName := make(map[string]*remoteDataCentre)
	serving := make(map[string]bool)
	for _, h := range hosts {
		if h.DataCentre == d.location.DataCentre || now.Before(d.fullUntil[h.DataCentre]) {
			continue
		}
		switch {
		case h.Role == platform.RoleUpstream && h.Service == service && !h.Leaving:
			serving[h.DataCentre] = true
		case h.Role == platform.RoleEntry && h.Addr.IsValid() && !h.Leaving:
			c := byName[h.DataCentre]
			if c == nil {
				c = &remoteDataCentre{name: h.DataCentre, otherRegion: h.Region != d.location.Region}
				byName[h.DataCentre] = c
			}
			c.entries = append(c.entries, h)
		}
	}
	var out []remoteDataCentre
	for name, c := range byName {
		if serving[name] {
			out = append(out, *c)
		}
	}
	slices.SortFunc(out, func(x, y remoteDataCentre) int {
		return cmp.Or(boolOrder(x.otherRegion)-boolOrder(y.otherRegion), cmp.Compare(x.name, y.name))
	})
	return out
}

// markFull records the time until which a data centre gets no requests. The time
// has jitter, so that the hosts do not all retry at once.
func (d *RemoteDataCentres) markFull(dataCentre string, after time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	after = max(after, time.Second)
	d.fullUntil[dataCentre] = now.Add(after/2 + time.Duration(d.random.Int64N(int64(after))))
}

// sendRemote offers a request for which this data centre has no free slot to the
// other data centres.
func (q *Requests) sendRemote(ctx context.Context, r message.Request, deadline time.Time, last message.Answer) message.Answer {
	r.Stage, r.Unit = message.StageRemote, ""
	for _, c := range q.remotes.candidates(q.hosts.All(), r.Service, q.timers.Now()) {
		minRTT := sameRegionRTT
		if c.otherRegion {
			minRTT = otherRegionRTT
		}
		now := q.timers.Now()
		r.Timeout = deadline.Sub(now) - minRTT
		if r.Timeout <= answerMargin {
			return last
		}
		e := c.entries[xxhash.Sum64String(r.ID)%uint64(len(c.entries))]
		a := q.forward(ctx, lease.Peer{Name: e.Name, Addr: e.Addr}, r)
		if a.Outcome != message.OutcomeNotRun {
			return a
		}
		q.remotes.markFull(c.name, a.RetryAfter, now)
	}
	return last
}
