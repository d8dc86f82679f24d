// Package wire decodes msgpack values that other programs have written: rows of the
// store, responses of workers, submissions of clients and frames of peers.
//
// The msgpack library recurses into nested values, also into those of unknown fields,
// and a goroutine that exceeds the limit of its stack ends the process. So a value is
// checked first, without recursion: its size, its depth, the number of its values, and
// whether it is complete. An element of one byte may decode into a struct of hundreds,
// so that the number of values bounds the memory of the decoded value.
package wire

import (
	"cmp"

	"github.com/vmihailenco/msgpack/v5"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// Kind is the kind of an Error.
type Kind string

// KindMalformed means that a value cannot be decoded.
const KindMalformed Kind = "malformed value"

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// MaxBytes is the largest size of a value in bytes.
	MaxBytes = 16 << 20
	// maxDepth is the largest number of arrays and maps that may enclose a value.
	maxDepth = 32
)

// Limits bounds a value. A number of 0 is no limit beyond MaxBytes.
type Limits struct {
	Bytes int
	// Values is the number of values, including those in arrays and maps.
	Values int
}

// Unmarshal decodes the first value in data into v. It is for short values.
func Unmarshal(data []byte, v any) error { return UnmarshalWithin(Limits{}, data, v) }

// UnmarshalWithin decodes the first value in data into v, if data is within limits.
func UnmarshalWithin(limits Limits, data []byte, v any) error {
	if _, err := MeasureWithin(limits, data); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(data, v); err != nil {
		return fault.New("decode", KindMalformed, "%w", err)
	}
	return nil
}

// Measure checks the first value in data and returns its size in bytes.
func Measure(data []byte) (int, error) { return MeasureWithin(Limits{}, data) }

// MeasureWithin is like Measure, and also checks that data is within limits.
func MeasureWithin(limits Limits, data []byte) (int, error) {
	size, _, err := check(limits, data)
	return size, err
}

// CountWithin checks the first value in data and returns the number of its values.
func CountWithin(limits Limits, data []byte) (int, error) {
	_, values, err := check(limits, data)
	return values, err
}

// check checks the first value in data and returns its size in bytes and the number of its
// values, including those in arrays and maps.
func check(limits Limits, data []byte) (size, values int, err error) {
	maxBytes, maxValues := cmp.Or(limits.Bytes, MaxBytes), cmp.Or(limits.Values, MaxBytes)
	if len(data) > maxBytes {
		return 0, 0, fault.New("check", KindMalformed, "%d bytes; at most %d are allowed", len(data), maxBytes)
	}
	var open [maxDepth]uint64 // values that each open array or map still contains
	depth, at := 0, 0
	for {
		h, err := readHeader(data[at:])
		if err != nil {
			return 0, 0, err
		}
		left := uint64(len(data) - at - h.size)
		if h.bytes > left || h.values > left {
			return 0, 0, fault.New("check", KindMalformed, "a value exceeds the %d bytes that follow it", left)
		}
		if values++; values > maxValues {
			return 0, 0, fault.New("check", KindMalformed, "more than %d values", maxValues)
		}
		at += h.size + int(h.bytes)
		if h.values > 0 {
			if depth == maxDepth {
				return 0, 0, fault.New("check", KindMalformed, "more than %d nested arrays or maps", maxDepth)
			}
			open[depth] = h.values
			depth++
			continue
		}
		for depth > 0 {
			open[depth-1]--
			if open[depth-1] > 0 {
				break
			}
			depth--
		}
		if depth == 0 {
			return at, values, nil
		}
	}
}
