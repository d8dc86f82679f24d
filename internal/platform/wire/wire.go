// Package wire holds the JSON messages that the platform adapters and the
// stand-ins exchange, and converts them to and from the domain types.
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

const (
	// MaxRequestBytes is the maximum size of a request body.
	MaxRequestBytes = 4 << 20
	// MaxResponseBytes is the maximum size of a response body.
	MaxResponseBytes = 16 << 20
)

// The headers that adapters and stand-ins exchange.
const (
	// HeaderFrom is the name of the calling entry host.
	HeaderFrom = "Cicadabarrow-From"
	// HeaderRequestID is the ID of an upstream request, which the response
	// repeats.
	HeaderRequestID = "Cicadabarrow-Request"
	// HeaderIdempotencyKey is the caller's idempotency key of an upstream
	// request.
	HeaderIdempotencyKey = "Cicadabarrow-Key"
	// HeaderIdempotent is "true" if an upstream request may run more than once.
	HeaderIdempotent = "Cicadabarrow-Idempotent"
	// HeaderDeadline is the time that an upstream may spend on a request.
	HeaderDeadline = "Cicadabarrow-Deadline"
	// HeaderLeaving is "true" on responses of an upstream that is leaving.
	HeaderLeaving = "Cicadabarrow-Leaving"
	// HeaderError is "true" on responses whose body is an Error.
	HeaderError = "Cicadabarrow-Error"
)

// Error is the response to a failed call.
type Error struct {
	Kind    string
	Message string
}

// Decode decodes one JSON value. Unknown fields and data after the value give an
// error of KindInvalid.
func Decode[T any](op string, data []byte) (T, error) {
	var v, zero T
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&v); err != nil {
		return zero, invalid(op, "malformed JSON: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return zero, invalid(op, "malformed JSON: more data after the value")
	}
	return v, nil
}

// FromError converts an error to its wire form. An error that is not a
// platform.Error gets platform.KindUnknown, since its effect is unknown.
func FromError(err error) Error {
	var e *platform.Error
	if !errors.As(err, &e) {
		return Error{Kind: string(platform.KindUnknown), Message: err.Error()}
	}
	return Error{Kind: string(e.Kind), Message: e.Err.Error()}
}

// Err converts an error from its wire form. It returns nil for the zero Error.
func (e Error) Err(op string) error {
	switch kind := platform.Kind(e.Kind); kind {
	case "":
		return nil
	case platform.KindMissing, platform.KindConflict, platform.KindNotRun, platform.KindUnknown, platform.KindInvalid:
		return fault.New(op, kind, "%s", e.Message)
	default:
		return fault.New(op, platform.KindUnknown, "an error of unknown kind %q: %s", e.Kind, e.Message)
	}
}

func invalid(op, format string, args ...any) error {
	return fault.New(op, platform.KindInvalid, format, args...)
}

// formatTime formats a time for the wire; the zero time gives an empty string.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.Format(time.RFC3339Nano)
}

func parseTime(field, s string) (time.Time, error) {
	if s == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339Nano, s)
	if err != nil {
		return time.Time{}, fmt.Errorf("%s is %q, not an RFC 3339 time", field, s)
	}
	return t, nil
}

func parseDuration(field, s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, fmt.Errorf("%s is %q, not a duration with a unit", field, s)
	}
	return d, nil
}
