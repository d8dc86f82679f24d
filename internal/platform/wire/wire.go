// Package wire holds the JSON that passes between the platform adapters and
// the stand-ins, and maps it by hand to and from the domain types.
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
	// MaxRequestBytes bounds the body of a request.
	MaxRequestBytes = 4 << 20
	// MaxResponseBytes bounds the body of an answer.
	MaxResponseBytes = 16 << 20
)

// The headers between adapters and stand-ins.
const (
	// HeaderFrom names the entry host that calls.
	HeaderFrom = "Cicadabarrow-From"
	// HeaderRequestID is the ID of an upstream request, echoed by its answer.
	HeaderRequestID = "Cicadabarrow-Request"
	// HeaderIdempotencyKey is the caller's key of an upstream request.
	HeaderIdempotencyKey = "Cicadabarrow-Key"
	// HeaderIdempotent is "true" when an upstream request may run twice.
	HeaderIdempotent = "Cicadabarrow-Idempotent"
	// HeaderDeadline is how long an upstream may work on a request.
	HeaderDeadline = "Cicadabarrow-Deadline"
	// HeaderLeaving is "true" on answers of an upstream that is leaving.
	HeaderLeaving = "Cicadabarrow-Leaving"
	// HeaderError is "true" on answers whose body is an Error.
	HeaderError = "Cicadabarrow-Error"
)

// Error is the answer to a call that failed.
type Error struct {
	Kind    string
	Message string
}

// Decode reads one JSON value. Unknown fields and whatever follows the value
// are errors of KindInvalid.
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

// FromError maps an error to the wire. An error without a kind has an effect
// that is not known.
func FromError(err error) Error {
	var e *platform.Error
	if !errors.As(err, &e) {
		return Error{Kind: string(platform.KindUnknown), Message: err.Error()}
	}
	return Error{Kind: string(e.Kind), Message: e.Err.Error()}
}

// Err maps an error from the wire; nil for the zero Error.
func (e Error) Err(op string) error {
	switch kind := platform.Kind(e.Kind); kind {
	case "":
		return nil
	case platform.KindMissing, platform.KindConflict, platform.KindNotRun, platform.KindUnknown, platform.KindInvalid:
		return fault.New(op, kind, "%s", e.Message)
	default:
		return fault.New(op, platform.KindUnknown, "an error of the unknown kind %q: %s", e.Kind, e.Message)
	}
}

func invalid(op, format string, args ...any) error {
	return fault.New(op, platform.KindInvalid, format, args...)
}

// formatTime renders a time for the wire; the zero time as an empty string.
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
		return time.Time{}, fmt.Errorf("%s is %q, not a time in RFC 3339", field, s)
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
