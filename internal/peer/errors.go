package peer

import (
	"errors"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// Kind classifies failed calls by what the caller can conclude from them.
type Kind string

const (
	// KindNotSent means that no part of the call reached the peer.
	KindNotSent Kind = "not sent"
	// KindUnknown means that the call was sent but its answer was lost, so it
	// may have taken effect.
	KindUnknown Kind = "unknown"
	// KindMalformed means that a frame could not be encoded or decoded, or that
	// a hello was invalid.
	KindMalformed Kind = "malformed frame"
	// KindRefused means that the peer answered with an error of its handler, so
	// the call had no effect. The error is ErrBusy too if the peer had too many calls.
	KindRefused Kind = "refused"
)

// ErrBusy is the error of a call that the peer has refused because it is making too many
// others. Handlers return it; the peer is not at fault.
var ErrBusy = errors.New("too many calls in progress")

// errClosed is the error of a call that found its connection closed.
var errClosed = errors.New("the connection is closed")

// Error is the error type of this package.
type Error = fault.Error[Kind]
