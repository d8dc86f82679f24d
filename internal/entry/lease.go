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
	// leaseEventBuffer is the capacity of the event queue of Leases. While the
	// queue is full, producers wait.
	leaseEventBuffer = 256
	leaseTick        = 100 * time.Millisecond
	// storeTimeout limits one call to the table service.
	storeTimeout = 2 * time.Second
	// peerTimeout limits one call from Leases to a peer.
	peerTimeout = time.Second
)

// UnitHandler starts and stops the component of this host that serves a unit.
type UnitHandler interface {
	// Gain starts to serve a unit.
	Gain(g lease.Gained)
	// Lose stops serving a unit at once.
	Lose(u lease.Unit, epoch uint64)
	// Release stops serving a unit gracefully and calls done afterwards.
	Release(u lease.Unit, epoch uint64, done func())
}

// PeerCaller calls peers.
type PeerCaller interface {
	Call(ctx context.Context, to netip.AddrPort, m peer.Message) (peer.Message, error)
}

// IdentifyingCaller calls peers and identifies the process that responds. Some
// responses are valid only for that incarnation of a host.
type IdentifyingCaller interface {
	// Ask calls a peer and also returns the identity of the peer that responded.
	Ask(ctx context.Context, to netip.AddrPort, m peer.Message) (peer.Host, peer.Message, error)
	// Hello returns the identity of the peer that now listens at an address.
	Hello(ctx context.Context, to netip.AddrPort) (peer.Host, error)
}

// Leases manages the lease of an entry host and the units that the host holds
// under it. Its event loop drives a lease.Keeper; the other components ask it
// whether they may act on a unit.
type Leases struct {
	keeper  *lease.Keeper
	table   Table
	peers   IdentifyingCaller
	handler UnitHandler
	timers  timer.Service
	log     *zap.Logger

	events *ring.Ring[func(now time.Time) []lease.Action]
	state  atomic.Pointer[leaseState]
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	calls  sync.WaitGroup
	err    error
}

// leaseState is the state that the event loop publishes to the other components.
type leaseState struct {
	lease.Authority
	// latestDeadline is the latest deadline so far: until then no other host can
	// have taken over.
	latestDeadline time.Time
	owners         map[lease.Unit]lease.Peer
	peers          []lease.Peer
	reachedAt      time.Time
	unjournaled    bool
}

// NewLeases returns the Leases of a host. Its event loop starts once built is
// closed: a unit may be gained only after everything that serves it exists.
func NewLeases(
	keeper *lease.Keeper, table Table, peers IdentifyingCaller, handler UnitHandler, built <-chan struct{},
	timers timer.Service, log *zap.Logger,
) *Leases {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Leases{
		keeper: keeper, table: table, peers: peers, handler: handler, timers: timers, log: log.Named("lease"),
		events: ring.New[func(time.Time) []lease.Action](leaseEventBuffer),
		ctx:    ctx, cancel: cancel, done: make(chan struct{}),
	}
	l.state.Store(&leaseState{})
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
			// The event may have made another step due.
			l.perform(l.keeper.Tick(l.timers.Now(), l.timers.Latest()))
		}
		l.publish()
		if l.keeper.Fenced() {
			l.err = fault.New("lease", KindNotOwner, "a peer has fenced this incarnation")
			return
		}
	}
}

// publish makes the state after an event available to the other components.
func (l *Leases) publish() {
	a := &leaseState{
		Authority: l.keeper.Authority(), owners: l.keeper.Owners(), peers: l.keeper.Peers(),
		reachedAt: l.keeper.StoreReachedAt(), unjournaled: l.keeper.MayStartUnjournaled(l.timers.Latest()),
	}
	a.latestDeadline = l.state.Load().latestDeadline
	if a.Deadline.After(a.latestDeadline) {
		a.latestDeadline = a.Deadline
	}
	l.state.Store(a)
}

// post adds an event to the queue of the event loop.
func (l *Leases) post(event func(now time.Time) []lease.Action) {
	_ = l.events.Put(l.ctx, event)
}

func (l *Leases) perform(actions []lease.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case lease.Gained:
			l.log.Info("gained a unit", zap.String("Unit", string(a.Unit)), zap.Uint64("Epoch", a.Epoch))
			l.handler.Gain(a)
		case lease.Lost:
			l.log.Info("lost a unit", zap.String("Unit", string(a.Unit)), zap.Uint64("Epoch", a.Epoch))
			l.handler.Lose(a.Unit, a.Epoch)
		case lease.Release:
			l.handler.Release(a.Unit, a.Epoch, func() {
				l.post(func(time.Time) []lease.Action {
					l.keeper.UnitStopped(a.Unit, a.Epoch)
					return nil
				})
			})
		default:
			l.calls.Go(func() { l.execute(a) })
		}
	}
}

// queryLeases runs a query in the event loop and returns its result.
func queryLeases[T any](ctx context.Context, l *Leases, query func(now time.Time) T) (T, error) {
	reply := make(chan T, 1)
	var none T
	err := l.events.Put(ctx, func(now time.Time) []lease.Action {
		reply <- query(now)
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
		return none, fault.New("answer", KindUnavailable, "the event loop of the lease has ended")
	}
}

// ServePromiseRequest serves a peer's request for a promise.
func (l *Leases) ServePromiseRequest(ctx context.Context, from lease.Incarnation, unjournaled bool) (bool, error) {
	return queryLeases(ctx, l, func(now time.Time) bool { return l.keeper.PromiseRequested(from, unjournaled, now) })
}

// ServeFenceConsentRequest serves a peer's request for consent to fence a host
// whose lease has lapsed.
func (l *Leases) ServeFenceConsentRequest(ctx context.Context, about lease.Incarnation, version uint64) (message.FenceConsent, error) {
	return queryLeases(ctx, l, func(now time.Time) message.FenceConsent {
		granted, unjournaled := l.keeper.FenceConsentRequested(about, version, now)
		return message.FenceConsent{Granted: granted, Unjournaled: unjournaled}
	})
}

// ReleaseAll releases every unit gracefully. It returns when all are released, the
// context ends, or a peer has fenced this incarnation.
func (l *Leases) ReleaseAll(ctx context.Context) error {
	l.post(func(time.Time) []lease.Action {
		l.keeper.Leave()
		return nil
	})
	sub := l.timers.Every(leaseTick)
	defer sub.Stop()
	for {
		released, err := queryLeases(ctx, l, func(time.Time) bool { return l.keeper.Left() })
		if err != nil {
			return l.endedBy(err)
		}
		if released {
			return nil
		}
		select {
		case <-sub.C:
		case <-ctx.Done():
			return fmt.Errorf("release all units: %w", ctx.Err())
		}
	}
}

// endedBy returns why the event loop ended, or the error of a query if the loop has not
// ended by itself.
func (l *Leases) endedBy(err error) error {
	select {
	case <-l.done:
		if l.err != nil {
			return l.err
		}
	default:
	}
	return err
}

// Done is closed when the event loop has ended.
func (l *Leases) Done() <-chan struct{} { return l.done }

// Err returns why the event loop ended; it is nil after Close.
func (l *Leases) Err() error { return l.err }

// Close stops the event loop without releasing anything.
func (l *Leases) Close() {
	l.cancel()
	<-l.done
	l.calls.Wait()
}
