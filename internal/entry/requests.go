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

// Requests routes a caller's request: to the owner of its key, from there to
// the owner of a group with a free slot, and from there to an instance.
type Requests struct {
	place  Place
	leases *Leases
	owned  *Owned
	hosts  *HostView
	peers  Caller
	timers timer.Service

	observer Observer
	rooms    *Rooms
	away     *Away
	retries  *retries
}

// Place is where an entry host stands.
type Place struct {
	Region     string
	DataCentre string
}

// NewRequests returns the router of an entry host.
func NewRequests(
	place Place, leases *Leases, owned *Owned, hosts *HostView, peers Caller, timers timer.Service,
) *Requests {
	return &Requests{
		place: place, leases: leases, owned: owned, hosts: hosts, peers: peers, timers: timers,
		rooms: NewRooms(owned, leases, peers, timers), away: NewAway(place), retries: newRetries(owned),
	}
}

// Close ends the duties of the router.
func (q *Requests) Close() { q.rooms.Close() }

// Do gets a caller's request its outcome. A key may start with the name of the
// data centre that is its home and a colon; otherwise its home is here.
func (q *Requests) Do(ctx context.Context, r message.Request) message.Answer {
	begun := q.timers.Now()
	a := q.do(ctx, r)
	if q.observer != nil {
		answered := a.Outcome == message.OutcomeAnswered && a.Status < http.StatusInternalServerError
		q.observer.Request(r.Service, q.timers.Now().Sub(begun), answered)
	}
	return a
}

// SetObserver sets who is told how requests ended. Call it before Do.
func (q *Requests) SetObserver(o Observer) { q.observer = o }

func (q *Requests) do(ctx context.Context, r message.Request) message.Answer {
	ctx, cancel := context.WithTimeout(ctx, r.Deadline)
	defer cancel()
	deadline := q.timers.Now().Add(r.Deadline)
	if r.Key == "" {
		return q.send(ctx, r, deadline)
	}
	home, key, err := repeat.ParseKeyWithHome(r.Key, !r.Idempotent)
	if err != nil {
		return notRun(r.ID, err.Error())
	}
	if home == "" {
		home = q.place.DataCentre
	}
	r.Key = key.Text
	r.Stage = message.StageHome
	r.Unit = string(keyUnit(r.Key))
	if home != q.place.DataCentre {
		return q.forwardHome(ctx, r, home, deadline)
	}
	return q.Home(ctx, r)
}

// NewKey issues a key for one request and its repeats, with its home here.
func (q *Requests) NewKey() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", err
	}
	return q.place.DataCentre + ":" + id.String(), nil
}

// Home sees to a request as the owner of its key, or asks the owner.
func (q *Requests) Home(ctx context.Context, r message.Request) message.Answer {
	u := lease.Unit(r.Unit)
	if k, ok := q.owned.Keys(u); ok {
		deadline := q.timers.Now().Add(r.Deadline)
		return k.Do(ctx, r, func(ctx context.Context) message.Answer { return q.send(ctx, r, deadline) })
	}
	owner, ok := q.leases.Owner(u)
	if !ok {
		return notRun(r.ID, "no entry host owns the key just now")
	}
	return q.ask(ctx, owner, r)
}

// forwardHome hands a request to the data centre that is its key's home. An
// idempotent request runs here when that cannot be reached.
func (q *Requests) forwardHome(
	ctx context.Context, r message.Request, dataCentre string, deadline time.Time,
) message.Answer {
	for _, h := range q.hosts.Entries(dataCentre) {
		a := q.ask(ctx, lease.Peer{Name: h.Name, Addr: h.Addr}, r)
		if a.Outcome != message.OutcomeNotRun {
			return a
		}
	}
	if r.Idempotent {
		return q.send(ctx, r, deadline)
	}
	return notRun(r.ID, "the key's home data centre "+dataCentre+" cannot be reached")
}

// ask hands a request to a peer and tells what became of it.
func (q *Requests) ask(ctx context.Context, to lease.Peer, r message.Request) message.Answer {
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

// maxGroups bounds the groups that one request is offered to.
const maxGroups = 3

// send offers a request to the groups of the data centre, and to the other
// data centres when there is no room here.
func (q *Requests) send(ctx context.Context, r message.Request, deadline time.Time) message.Answer {
	a := q.sendHere(ctx, r, deadline)
	if a.Outcome != message.OutcomeNotRun {
		return a
	}
	return q.sendAway(ctx, r, deadline, a)
}

// sendHere offers a request to the groups of the data centre until one does not
// refuse it as not run. An idempotent request with an unknown outcome is sent
// once more within the retry budget.
func (q *Requests) sendHere(ctx context.Context, r message.Request, deadline time.Time) message.Answer {
	r.Stage = message.StageSend
	last := notRun(r.ID, "no group of service "+r.Service+" has an owner")
	q.retries.earn(r.Service)
	for _, u := range q.groups(r) {
		left := deadline.Sub(q.timers.Now())
		if left <= answerMargin {
			break
		}
		r.Unit, r.Deadline = string(u), left
		a := q.Send(ctx, r)
		switch {
		case a.Outcome == message.OutcomeAnswered:
			return a
		case a.Outcome == message.OutcomeUnknown && (!r.Idempotent || !q.retries.spend(r.Service)):
			return a
		case last.Outcome != message.OutcomeUnknown:
			// Once an outcome was unknown, the request may have run.
			last = a
		}
	}
	return last
}

// groups returns the groups to offer a request to, those with room first.
func (q *Requests) groups(r message.Request) []lease.Unit {
	var units []lease.Unit
	for u := range q.leases.state.Load().owners {
		if serves(u, r.Service) {
			units = append(units, u)
		}
	}
	q.rooms.Order(units, r.ID)
	return units[:min(len(units), maxGroups)]
}

// Send sees to a request as the owner of a group, or asks the owner.
func (q *Requests) Send(ctx context.Context, r message.Request) message.Answer {
	u := lease.Unit(r.Unit)
	if g, ok := q.owned.Group(u); ok {
		return g.Do(ctx, r)
	}
	owner, ok := q.leases.Owner(u)
	if !ok {
		return notRun(r.ID, "group "+r.Unit+" has no owner just now")
	}
	defer q.rooms.Forwarded(u)()
	return q.ask(ctx, owner, r)
}

// Serve answers a request that a peer hands over. It is not handed on again,
// except into the home data centre.
func (q *Requests) Serve(ctx context.Context, from peer.Host, r message.Request) (message.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Deadline)
	defer cancel()
	switch r.Stage {
	case message.StageHome:
		if from.DataCentre != q.place.DataCentre {
			return q.Home(ctx, r), nil
		}
		if k, ok := q.owned.Keys(lease.Unit(r.Unit)); ok {
			deadline := q.timers.Now().Add(r.Deadline)
			return k.Do(ctx, r, func(ctx context.Context) message.Answer { return q.send(ctx, r, deadline) }), nil
		}
	case message.StageSend:
		if g, ok := q.owned.Group(lease.Unit(r.Unit)); ok {
			return g.Do(ctx, r), nil
		}
	case message.StageRemote:
		return q.sendHere(ctx, r, q.timers.Now().Add(r.Deadline)), nil
	default:
		return message.Answer{}, fault.New("serve", KindMalformed, "stage %d", r.Stage)
	}
	return notRun(r.ID, "unit "+r.Unit+" is not owned here"), nil
}
