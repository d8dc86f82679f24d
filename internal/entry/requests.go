package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/repeat"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// Requests routes a caller's request to the owner of its idempotency key, from
// there to the owner of a group with a free slot, and from there to an instance.
type Requests struct {
	location Location
	leases   *Leases
	owned    *OwnedUnits
	hosts    *HostView
	peers    PeerCaller
	timers   timer.Service

	observer     RequestObserver
	slots        *SlotTracker
	remotes      *RemoteDataCentres
	retryBudgets *retryBudgets
}

// Location is the location of an entry host.
type Location struct {
	Region     string
	DataCentre string
}

// NewRequests returns the router of an entry host.
func NewRequests(
	location Location, leases *Leases, owned *OwnedUnits, hosts *HostView, peers PeerCaller, timers timer.Service,
) *Requests {
	return &Requests{
		location: location, leases: leases, owned: owned, hosts: hosts, peers: peers, timers: timers,
		slots: NewSlotTracker(owned, leases, peers, timers), remotes: NewRemoteDataCentres(location), retryBudgets: newRetryBudgets(owned),
	}
}

// Close stops the exchange of free slots.
func (q *Requests) Close() { q.slots.Close() }

// Do runs a caller's request and returns its outcome. A key may start with the
// name of its home data centre and a colon; otherwise this data centre is its
// home.
func (q *Requests) Do(ctx context.Context, r message.Request) message.Answer {
	start := q.timers.Now()
	a := q.do(ctx, r)
	if q.observer != nil {
		answered := a.Outcome == message.OutcomeAnswered && a.Status < http.StatusInternalServerError
		q.observer.Request(r.Service, q.timers.Now().Sub(start), answered)
	}
	return a
}

// SetObserver sets the observer of the outcomes of requests. Call it before Do.
func (q *Requests) SetObserver(o RequestObserver) { q.observer = o }

func (q *Requests) do(ctx context.Context, r message.Request) message.Answer {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	deadline := q.timers.Now().Add(r.Timeout)
	if r.Key == "" {
		return q.send(ctx, r, deadline)
	}
	home, key, err := repeat.ParseKeyWithHome(r.Key, !r.Idempotent)
	if err != nil {
		return notRun(r.ID, err.Error())
	}
	if home == "" {
		home = q.location.DataCentre
	}
	r.Key = key.Text
	r.Stage = message.StageKeyOwner
	r.Unit = string(keyUnit(r.Key))
	if home != q.location.DataCentre {
		return q.forwardHome(ctx, r, home, deadline)
	}
	return q.DoAtKeyOwner(ctx, r)
}

// NewKey issues an idempotency key for one request and its repeats, whose home is
// this data centre.
func (q *Requests) NewKey() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", err
	}
	return q.location.DataCentre + ":" + id.String(), nil
}

// DoAtKeyOwner runs a request if this host owns its key, and otherwise forwards it
// to the owner.
func (q *Requests) DoAtKeyOwner(ctx context.Context, r message.Request) message.Answer {
	u := lease.Unit(r.Unit)
	if k, ok := q.owned.Keys(u); ok {
		deadline := q.timers.Now().Add(r.Timeout)
		return k.Do(ctx, r, func(ctx context.Context) message.Answer { return q.send(ctx, r, deadline) })
	}
	owner, ok := q.leases.Owner(u)
	if !ok {
		return notRun(r.ID, "no entry host owns the key just now")
	}
	return q.forward(ctx, owner, r)
}

// forwardHome forwards a request to the home data centre of its key. If that
// cannot be reached, an idempotent request runs in this data centre.
func (q *Requests) forwardHome(
	ctx context.Context, r message.Request, dataCentre string, deadline time.Time,
) message.Answer {
	for _, h := range q.hosts.EntryHosts(dataCentre) {
		a := q.forward(ctx, lease.Peer{Name: h.Name, Addr: h.Addr}, r)
		if a.Outcome != message.OutcomeNotRun {
			return a
		}
	}
	if r.Idempotent {
		return q.send(ctx, r, deadline)
	}
	return notRun(r.ID, "the key's home data centre "+dataCentre+" cannot be reached")
}

// forward forwards a request to a peer and returns its outcome.
func (q *Requests) forward(ctx context.Context, to lease.Peer, r message.Request) message.Answer {
	reply, err := q.peers.Call(ctx, to.Addr, message.EncodeRequest(r))
	switch {
	case err == nil:
	case fault.Is(err, peer.KindNotSent), fault.Is(err, peer.KindRefused):
		return notRun(r.ID, err.Error())
	default:
		return message.Answer{ID: r.ID, Outcome: message.OutcomeUnknown, Reason: err.Error()}
	}
	a, err := message.DecodeAnswer(reply)
	if err != nil || a.ID != r.ID {
		return message.Answer{ID: r.ID, Outcome: message.OutcomeUnknown, Reason: "malformed answer of a peer"}
	}
	return a
}

// maxGroupTries limits the groups that one request is offered to.
const maxGroupTries = 3

// send offers a request to the groups of this data centre and, if it was not run
// there, to the other data centres.
func (q *Requests) send(ctx context.Context, r message.Request, deadline time.Time) message.Answer {
	a := q.sendLocal(ctx, r, deadline)
	if a.Outcome != message.OutcomeNotRun {
		return a
	}
	return q.sendRemote(ctx, r, deadline, a)
}

// sendLocal offers a request to the groups of this data centre until one does not
// refuse it as not run. An idempotent request with an unknown outcome is offered
// to the next group if the retry budget allows it.
func (q *Requests) sendLocal(ctx context.Context, r message.Request, deadline time.Time) message.Answer {
	r.Stage = message.StageGroupOwner
	last := notRun(r.ID, "no group of service "+r.Service+" has an owner")
	q.retryBudgets.earn(r.Service)
	for _, u := range q.candidateGroups(r) {
		timeLeft := deadline.Sub(q.timers.Now())
		if timeLeft <= answerMargin {
			break
		}
		r.Unit, r.Timeout = string(u), timeLeft
		a := q.DoAtGroupOwner(ctx, r)
		switch {
		case a.Outcome == message.OutcomeAnswered:
			return a
		case a.Outcome == message.OutcomeUnknown && (!r.Idempotent || !q.retryBudgets.spend(r.Service)):
			return a
		case last.Outcome != message.OutcomeUnknown:
			// After an unknown outcome the request may have run, so a later
			// refusal does not replace it.
			last = a
		}
	}
	return last
}

// candidateGroups returns the groups to offer a request to, those with free slots
// first.
func (q *Requests) candidateGroups(r message.Request) []lease.Unit {
	var units []lease.Unit
	for u := range q.leases.state.Load().owners {
		if serves(u, r.Service) {
			units = append(units, u)
		}
	}
	q.slots.Order(units, r.ID)
	return units[:min(len(units), maxGroupTries)]
}

// DoAtGroupOwner runs a request if this host owns its group, and otherwise forwards
// it to the owner.
func (q *Requests) DoAtGroupOwner(ctx context.Context, r message.Request) message.Answer {
	u := lease.Unit(r.Unit)
	if g, ok := q.owned.Group(u); ok {
		return g.Do(ctx, r)
	}
	owner, ok := q.leases.Owner(u)
	if !ok {
		return notRun(r.ID, "group "+r.Unit+" has no owner just now")
	}
	defer q.slots.TrackForwarded(u)()
	return q.forward(ctx, owner, r)
}

// Serve runs a request that a peer has forwarded. The request is not forwarded
// again at the same stage, unless it comes from another data centre to the home
// of its key.
func (q *Requests) Serve(ctx context.Context, from peer.Host, r message.Request) (message.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	switch r.Stage {
	case message.StageKeyOwner:
		if from.DataCentre != q.location.DataCentre {
			return q.DoAtKeyOwner(ctx, r), nil
		}
		if k, ok := q.owned.Keys(lease.Unit(r.Unit)); ok {
			deadline := q.timers.Now().Add(r.Timeout)
			return k.Do(ctx, r, func(ctx context.Context) message.Answer { return q.send(ctx, r, deadline) }), nil
		}
	case message.StageGroupOwner:
		if g, ok := q.owned.Group(lease.Unit(r.Unit)); ok {
			return g.Do(ctx, r), nil
		}
	case message.StageRemote:
		return q.sendLocal(ctx, r, q.timers.Now().Add(r.Timeout)), nil
	default:
		return message.Answer{}, fault.New("serve", KindMalformed, "stage %d", r.Stage)
	}
	return notRun(r.ID, "unit "+r.Unit+" is not owned here"), nil
}
