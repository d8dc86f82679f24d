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
	// sameRegionRTT and farLatency are the least time that a request needs to go
	// to another data centre of the region, or to another region, and back.
	sameRegionRTT  = 10 * time.Millisecond
	otherRegionRTT = 60 * time.Millisecond
)

// RemoteDataCentres remembers which other data centres had no room. One that refused a
// request gets none until about the time that it named.
type RemoteDataCentres struct {
	location Location

	mu        sync.Mutex
	fullUntil map[string]time.Time
	random    *rand.Rand
}

// NewRemoteDataCentres returns what a host of a place knows of the other data centres.
func NewRemoteDataCentres(place Location) *RemoteDataCentres {
	seed := xxhash.Sum64String(place.DataCentre)
	return &RemoteDataCentres{location: place, fullUntil: make(map[string]time.Time), random: rand.New(rand.NewPCG(seed, 0))}
}

// remoteDataCentre is another data remoteDataCentre with its entry hosts.
type remoteDataCentre struct {
	name        string
	otherRegion bool
	entries     []platform.Host
}

// candidates returns the data candidates that may have room, those of the own region
// first.
func (a *RemoteDataCentres) candidates(hosts []platform.Host, service string, now time.Time) []remoteDataCentre {
	a.mu.Lock()
	defer a.mu.Unlock()
	byName := make(map[string]*remoteDataCentre)
	serving := make(map[string]bool)
	for _, h := range hosts {
		if h.DataCentre == a.location.DataCentre || now.Before(a.fullUntil[h.DataCentre]) {
			continue
		}
		switch {
		case h.Role == platform.RoleUpstream && h.Service == service && !h.Leaving:
			serving[h.DataCentre] = true
		case h.Role == platform.RoleEntry && h.Addr.IsValid() && !h.Leaving:
			c := byName[h.DataCentre]
			if c == nil {
				c = &remoteDataCentre{name: h.DataCentre, otherRegion: h.Region != a.location.Region}
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

// markFull takes the time after which a data centre may have room again. It is
// spread, so that the hosts do not all come back at once.
func (a *RemoteDataCentres) markFull(dataCentre string, after time.Duration, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	after = max(after, time.Second)
	a.fullUntil[dataCentre] = now.Add(after/2 + time.Duration(a.random.Int64N(int64(after))))
}

// sendRemote offers a request that has no room here to the other data centres.
func (q *Requests) sendRemote(ctx context.Context, r message.Request, deadline time.Time, last message.Answer) message.Answer {
	r.Stage, r.Unit = message.StageRemote, ""
	for _, c := range q.remotes.candidates(q.hosts.All(), r.Service, q.timers.Now()) {
		least := sameRegionRTT
		if c.otherRegion {
			least = otherRegionRTT
		}
		now := q.timers.Now()
		r.Deadline = deadline.Sub(now) - least
		if r.Deadline <= answerMargin {
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
