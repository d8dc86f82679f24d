// Package relay lets other hosts make the owner's calls to workers.
//
// A relay is a host that makes calls to workers for the owner. On the owner, a Router
// passes each call to the relay of its worker, or makes the call itself if there is no
// relay. On every host, a Server makes the calls that it receives, as long as the owner
// permits it. The owner alone decides which calls are made.
package relay

import (
	"context"
	"net/netip"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// Workers makes calls to workers. A call to a worker that has seen a higher fencing
// token fails with cell.ErrFenced. Implementations verify the permit of the context
// right before each send.
type Workers interface {
	Hold(ctx context.Context, p cell.HoldRequest, fence uint64) (cell.Report, error)
	Start(ctx context.Context, to netip.AddrPort, s cell.SendStart, fence uint64) (cell.StartOutcome, error)
	Stop(ctx context.Context, to netip.AddrPort, s cell.SendStop, fence uint64) (time.Duration, error)
	SetPace(ctx context.Context, to netip.AddrPort, p cell.SetPace, fence uint64) error
}

// Kind classifies the failures of calls.
type Kind string

const (
	// KindRefused means that a relay did not make a call, which has no effect.
	KindRefused Kind = "refused by the relay"
	// KindRelaySilent means that a relay did not answer, so that its call may have
	// taken effect.
	KindRelaySilent Kind = "the relay does not answer"
	// KindNotSent means that a relay could not send a call to the worker, so that it
	// has no effect.
	KindNotSent Kind = "not sent to the worker"
	// KindWorkerSilent means that the worker did not answer a relay, or answered with
	// a failure, so that the call may have taken effect.
	KindWorkerSilent Kind = "the worker does not answer"
	// KindFenced means that the worker has seen a higher fencing token.
	KindFenced Kind = "fenced"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// hadNoEffect reports whether a call that failed has certainly had no effect.
func hadNoEffect(err error) bool { return fault.Is(err, KindRefused) || fault.Is(err, KindNotSent) }
