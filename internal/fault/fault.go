// Package fault provides the generic error type that all packages share. An
// error holds the operation that failed, the kind of failure, and the cause.
package fault

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs/v2"
)

// Error is an error with the operation that failed and the kind of failure.
// Each package declares its own kinds and its own instance of Error, so that
// callers match errors by kind and never by text.
type Error[K ~string] struct {
	// Op is the operation that failed, such as "commit".
	Op string
	// Kind is the kind of failure.
	Kind K
	// Err is the cause; it is never nil.
	Err error
}

// New returns an error with the operation, the kind and a formatted cause. A
// cause wrapped with %w stays reachable through errors.Is and errors.As.
func New[K ~string](op string, kind K, format string, args ...any) error {
	return &Error[K]{Op: op, Kind: kind, Err: errs.Errorf(format, args...)}
}

// Error formats the error as "operation: kind: cause".
func (e *Error[K]) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, string(e.Kind), e.Err)
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error { return e.Err }

// Is reports whether err is, or wraps, an error of the given kind.
func Is[K ~string](err error, kind K) bool {
	var e *Error[K]
	return errors.As(err, &e) && e.Kind == kind
}
