package wire

import (
	"bytes"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Encoder encodes values that are sent or stored often, without reflection. Its methods
// append one value or the header of an array. It keeps the first error.
type Encoder struct {
	buffer bytes.Buffer
	enc    *msgpack.Encoder
	err    error
}

// maxKeptBuffer is the largest buffer in bytes that is kept for the next values.
const maxKeptBuffer = 64 << 10

var encoders = sync.Pool{New: func() any {
	e := &Encoder{}
	e.enc = msgpack.NewEncoder(&e.buffer)
	return e
}}

// NewEncoder returns an encoder without values.
func NewEncoder() *Encoder { return encoders.Get().(*Encoder) }

// Finish returns the encoded values. The encoder must not be used any more.
func (e *Encoder) Finish() ([]byte, error) {
	out, err := bytes.Clone(e.buffer.Bytes()), e.err
	if e.buffer.Cap() <= maxKeptBuffer {
		e.buffer.Reset()
		e.err = nil
		encoders.Put(e)
	}
	return out, err
}

func (e *Encoder) note(err error) {
	if e.err == nil {
		e.err = err
	}
}

// Reserve appends bytes that the caller sets in the encoded values.
func (e *Encoder) Reserve(size int) {
	_, err := e.buffer.Write(make([]byte, size))
	e.note(err)
}

// Array begins an array; its values follow.
func (e *Encoder) Array(length int) { e.note(e.enc.EncodeArrayLen(length)) }

// Optional begins an array, or appends nil for an empty one.
func (e *Encoder) Optional(length int) {
	if length == 0 {
		e.note(e.enc.EncodeNil())
		return
	}
	e.Array(length)
}

// Text appends a string.
func (e *Encoder) Text(s string) { e.note(e.enc.EncodeString(s)) }

// Bytes appends bytes.
func (e *Encoder) Bytes(b []byte) { e.note(e.enc.EncodeBytes(b)) }

// Number appends an integer in as few bytes as possible.
func (e *Encoder) Number(n int64) { e.note(e.enc.EncodeInt(n)) }

// Unsigned appends an unsigned integer in as few bytes as possible.
func (e *Encoder) Unsigned(n uint64) { e.note(e.enc.EncodeUint(n)) }

// Duration appends a duration in nanoseconds.
func (e *Encoder) Duration(d time.Duration) { e.Number(int64(d)) }

// Float appends a floating-point number.
func (e *Encoder) Float(f float64) { e.note(e.enc.EncodeFloat64(f)) }

// Flag appends a boolean.
func (e *Encoder) Flag(b bool) { e.note(e.enc.EncodeBool(b)) }
