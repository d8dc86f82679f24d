// Package wire decodes msgpack values that other programs have written: rows of the
// store, responses of workers, submissions of clients and frames of peers.
//
// The msgpack library recurses into nested values, also into those of unknown fields,
// and a goroutine that exceeds the limit of its stack ends the process. So a value is
// checked first, without recursion: its size, its depth, and whether it is complete.
package wire

import (
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

// Unmarshal decodes the first value in data into v.
func Unmarshal(data []byte, v any) error {
	if _, err := Measure(data); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(data, v); err != nil {
		return fault.New("decode", KindMalformed, "%w", err)
	}
	return nil
}

// Measure checks the first value in data and returns its size in bytes.
func Measure(data []byte) (int, error) {
	if len(data) > MaxBytes {
		return 0, fault.New("check", KindMalformed, "%d bytes; at most %d are allowed", len(data), MaxBytes)
	}
	var open [maxDepth]uint64 // values that each open array or map still contains
	depth, at := 0, 0
	for {
		h, err := readHeader(data[at:])
		if err != nil {
			return 0, err
		}
		left := uint64(len(data) - at - h.size)
		if h.bytes > left || h.values > left {
			return 0, fault.New("check", KindMalformed, "a value exceeds the %d bytes that follow it", left)
		}
		at += h.size + int(h.bytes)
		if h.values > 0 {
			if depth == maxDepth {
				return 0, fault.New("check", KindMalformed, "more than %d nested arrays or maps", maxDepth)
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
			return at, nil
		}
	}
}
