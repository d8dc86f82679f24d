// Package platform holds the types that the scheduler of package entry and its
// platform adapters exchange. The platform offers a transactional table, an object
// store, a host list, workers and upstreams; the packages below this one are the
// adapters. The package declares no interfaces: each consumer declares the small
// interface that it needs.
//
// The cell of package host runs on another platform, whose adapter is the package
// platform at the root of the module.
package platform

import "cicadabarrow.example/cicadabarrow/internal/fault"

// Kind classifies a failed call to the platform, mostly by its effect.
type Kind string

const (
	// KindMissing means that nothing exists under the given name or key.
	KindMissing Kind = "missing"
	// KindConflict means that a check of a commit failed and nothing was
	// written.
	KindConflict Kind = "conflict"
	// KindNotRun means that the call had no effect.
	KindNotRun Kind = "not run"
	// KindUnknown means that the call may have taken effect: it was sent, but
	// no usable response was received.
	KindUnknown Kind = "unknown"
	// KindInvalid means that an argument is malformed, so that the call had no
	// effect, or that a value in a response is malformed, after a call that may
	// have taken effect.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package and of the adapters below it.
type Error = fault.Error[Kind]
