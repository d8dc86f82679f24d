package entry

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/ring"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const (
	// leaseRing bounds the events that wait for the lease duty. A full ring
	// makes its producers wait.
	leaseRing = 256
	leaseTick = 100 * time.Millisecond
	// storeTimeout bounds one call of the table service.
	storeTimeout = 2 * time.Second
	// peerTimeout bounds one call of a peer by the lease duty.
	peerTimeout = time.Second
)

// Owners starts and stops what this host does for a unit.
type Owners interface {
	// Gain starts to act on a unit.
	Gain(g lease.Gained)
	// Lose stops to act on a unit at once.
	Lose(u lease.Unit, epoch uint64)
	// Yield stops to act on a unit in good order and calls done afterwards.
	Yield(u lease.Unit, epoch uint64, done func())
}

// Caller calls peers.
type Caller interface {
	Call(ctx context.Context, to netip.AddrPort, m peer.Message) (peer.Message, error)
}

// Questioner asks peers what only the process that answers can vouch for.
type Questioner interface {
	// Ask calls a peer and tells who gave the answer.
	Ask(ctx context.Context, to netip.AddrPort, m peer.Message) (peer.Host, peer.Message, error)
	// Hello tells who answers at an address now.
	Hello(ctx context.Context, to netip.AddrPort) (peer.Host, error)
}

// Leases is the lease duty of an entry host. It drives a lease.Keeper and tells
// the other duties what they may act on.
type Leases struct {
	keeper *lease.Keeper
	table  Table
	peers  Questioner
	owners Owners
	timers timer.Service
	log    *zap.Logger

	events *ring.Ring[func(now time.Time) []lease.Action]
	state  atomic.Pointer[authority]
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	calls  sync.WaitGroup
	err    error
}

// authority is what the lease duty tells the others.
type authority struct {
	lease.Authority
	// latest is the latest deadline so far: until then no other host could
	// take over.
	latest      time.Time
	owners      map[lease.Unit]lease.Peer
	peers       []lease.Peer
	reachedAt   time.Time
	unjournaled bool
}

// NewLeases returns the lease duty, which starts once built is closed: a unit may
// be gained only when all that acts on it is in place.
func NewLeases(
	keeper *lease.Keeper, table Table, peers Questioner, owners Owners, built <-chan struct{},
	timers timer.Service, log *zap.Logger,
) *Leases {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Leases{
		keeper: keeper, table: table, peers: peers, owners: owners, timers: timers, log: log.Named("lease"),
		events: ring.New[func(time.Time) []lease.Action](leaseRing),
		ctx:    ctx, cancel: cancel, done: make(chan struct{}),
	}
	l.state.Store(&authority{})
	go func() {
		defer close(l.done)
		select {
		case <-built:
			l.run()
		case <-l.ctx.Done():
		}
	}()
	return l
}

func (l *Leases) run() {
	sub := l.timers.Every(leaseTick)
	defer sub.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-sub.C:
			l.perform(l.keeper.Tick(l.timers.Now(), l.timers.Latest()))
		case event := <-l.events.C():
			l.perform(event(l.timers.Now()))
			// What the event has changed may make a step due.
			l.perform(l.keeper.Tick(l.timers.Now(), l.timers.Latest()))
		}
		l.publish()
		if l.keeper.Fenced() {
			l.err = fault.New("lease", KindNotOwner, "a peer has fenced this incarnation")
			return
		}
	}
}

// publish tells the other duties the state after an event.
func (l *Leases) publish() {
	a := &authority{
		Authority: l.keeper.Authority(), owners: l.keeper.Owners(), peers: l.keeper.Peers(),
		reachedAt: l.keeper.StoreReachedAt(), unjournaled: l.keeper.MayStartUnjournaled(l.timers.Latest()),
	}
	a.latest = l.state.Load().latest
	if a.Deadline.After(a.latest) {
		a.latest = a.Deadline
	}
	l.state.Store(a)
}

// post hands an event to the duty.
func (l *Leases) post(event func(now time.Time) []lease.Action) {
	_ = l.events.Put(l.ctx, event)
}

func (l *Leases) perform(actions []lease.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case lease.Gained:
			l.log.Info("gained a unit", zap.String("Unit", string(a.Unit)), zap.Uint64("Epoch", a.Epoch))
			l.owners.Gain(a)
		case lease.Lost:
			l.log.Info("lost a unit", zap.String("Unit", string(a.Unit)), zap.Uint64("Epoch", a.Epoch))
			l.owners.Lose(a.Unit, a.Epoch)
		case lease.Release:
			l.owners.Yield(a.Unit, a.Epoch, func() {
				l.post(func(time.Time) []lease.Action {
					l.keeper.Stopped(a.Unit, a.Epoch)
					return nil
				})
			})
		default:
			l.calls.Go(func() { l.call(a) })
		}
	}
}

// answer runs a question of a peer in the duty and returns its answer.
func answer[T any](ctx context.Context, l *Leases, ask func(now time.Time) T) (T, error) {
	reply := make(chan T, 1)
	var none T
	err := l.events.Put(ctx, func(now time.Time) []lease.Action {
		reply <- ask(now)
		return nil
	})
	if err != nil {
		return none, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-l.done:
		return none, fault.New("answer", KindUnavailable, "the lease duty has ended")
	}
}

// PromiseAsked answers a peer's question for a promise.
func (l *Leases) PromiseAsked(ctx context.Context, from lease.Incarnation, unjournaled bool) (bool, error) {
	return answer(ctx, l, func(now time.Time) bool { return l.keeper.PromiseRequested(from, unjournaled, now) })
}

// WordAsked answers a peer's question for a word about a lapsed host.
func (l *Leases) WordAsked(ctx context.Context, about lease.Incarnation, version uint64) (message.FenceConsent, error) {
	return answer(ctx, l, func(now time.Time) message.FenceConsent {
		yes, unjournaled := l.keeper.FenceConsentRequested(about, version, now)
		return message.FenceConsent{Granted: yes, Unjournaled: unjournaled}
	})
}

// Leave gives up every unit in good order. Done is closed when that is done or
// the context ends.
func (l *Leases) Leave(ctx context.Context) error {
	l.post(func(time.Time) []lease.Action {
		l.keeper.Leave()
		return nil
	})
	sub := l.timers.Every(leaseTick)
	defer sub.Stop()
	for {
		left, err := answer(ctx, l, func(time.Time) bool { return l.keeper.Left() })
		if err != nil || left {
			return err
		}
		select {
		case <-sub.C:
		case <-ctx.Done():
			return fmt.Errorf("leave: %w", ctx.Err())
		}
	}
}

// Done is closed when the duty has ended.
func (l *Leases) Done() <-chan struct{} { return l.done }

// Err tells why the duty ended; nil after Close.
func (l *Leases) Err() error { return l.err }

// Close stops the duty without giving anything up.
func (l *Leases) Close() {
	l.cancel()
	<-l.done
	l.calls.Wait()
}
