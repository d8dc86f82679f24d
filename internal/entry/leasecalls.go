package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// call carries out an action that waits for somebody else.
func (l *Leases) call(a lease.Action) {
	switch a := a.(type) {
	case lease.Commit:
		l.commit(a.Commit)
	case lease.List:
		l.list(a)
	case lease.Read:
		l.read(a.Key)
	case lease.RequestPromise:
		l.askPromise(a)
	case lease.RequestFenceConsent:
		l.askWord(a)
	case lease.Probe:
		l.probe(a)
	}
}

func (l *Leases) commit(c platform.Commit) {
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	version, err := l.table.Commit(ctx, c)
	outcome := lease.OutcomeUnknown
	switch {
	case err == nil:
		outcome = lease.OutcomeDone
	case fault.Is(err, platform.KindConflict):
		outcome = lease.OutcomeConflict
	case fault.Is(err, platform.KindNotRun):
		outcome = lease.OutcomeNotRun
	}
	l.post(func(now time.Time) []lease.Action {
		return l.keeper.Committed(c.ID, outcome, version, now)
	})
}

func (l *Leases) list(a lease.List) {
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	const noLimit = 0
	rows, err := l.table.List(ctx, a.Prefix, a.After, noLimit)
	if err != nil {
		return
	}
	l.post(func(now time.Time) []lease.Action {
		actions, faults := l.keeper.Listed(a.After, rows, now)
		for _, f := range faults {
			l.log.Error("skipped a malformed row", zap.Error(f))
		}
		return actions
	})
}

func (l *Leases) read(key string) {
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	row, err := l.table.Get(ctx, key)
	if err != nil && !fault.Is(err, platform.KindMissing) {
		return
	}
	l.post(func(now time.Time) []lease.Action {
		return l.keeper.RowRead(row, err == nil, now)
	})
}

func (l *Leases) askPromise(a lease.RequestPromise) {
	ctx, cancel := context.WithTimeout(l.ctx, peerTimeout)
	defer cancel()
	// The promise is counted from before the question, whatever the peer's
	// clock does.
	sentAt := l.timers.Latest()
	ask := message.EncodePromiseRequest(message.PromiseRequest{Unjournaled: a.Unjournaled})
	from, reply, err := l.peers.Ask(ctx, a.To.Addr, ask)
	if err != nil || lease.Incarnation(from.Incarnation) != a.To.Incarnation {
		return
	}
	p, err := message.DecodePromise(reply)
	if err != nil {
		l.log.Error("malformed promise", zap.Error(err))
		return
	}
	l.post(func(time.Time) []lease.Action {
		l.keeper.PromiseAnswered(a.To.Incarnation, p.Granted, p.Unjournaled, sentAt)
		return nil
	})
}

func (l *Leases) askWord(a lease.RequestFenceConsent) {
	ctx, cancel := context.WithTimeout(l.ctx, peerTimeout)
	defer cancel()
	ask := message.FenceConsentRequest{Incarnation: string(a.Incarnation), Version: a.Version}
	from, reply, err := l.peers.Ask(ctx, a.To.Addr, message.EncodeFenceConsentRequest(ask))
	if err != nil || lease.Incarnation(from.Incarnation) != a.To.Incarnation {
		return
	}
	w, err := message.DecodeFenceConsent(reply)
	if err != nil {
		l.log.Error("malformed word", zap.Error(err))
		return
	}
	l.post(func(time.Time) []lease.Action {
		l.keeper.FenceConsentAnswered(a.To.Incarnation, a.Incarnation, a.Version, w.Granted, w.Unjournaled)
		return nil
	})
}

func (l *Leases) probe(a lease.Probe) {
	ctx, cancel := context.WithTimeout(l.ctx, peerTimeout)
	defer cancel()
	hello, err := l.peers.Hello(ctx, a.Host.Addr)
	if err != nil {
		return
	}
	l.post(func(now time.Time) []lease.Action {
		l.keeper.Probed(a.Host.Incarnation, lease.Incarnation(hello.Incarnation), now)
		return nil
	})
}
