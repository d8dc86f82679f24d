package wire

import (
	"bytes"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// Decoder decodes values that are received often, without reflection. Its methods read
// one value or the header of an array. It keeps the first error, after which they
// return zero values.
type Decoder struct {
	data   []byte
	reader bytes.Reader
	dec    *msgpack.Decoder
	err    error
}

var decoders = sync.Pool{New: func() any {
	d := &Decoder{}
	d.dec = msgpack.NewDecoder(&d.reader)
	return d
}}

// NewDecoder returns a decoder of the first value in data, which it checks first.
func NewDecoder(data []byte) *Decoder {
	d := decoders.Get().(*Decoder)
	d.data = data
	d.reader.Reset(data)
	_, d.err = Measure(data)
	return d
}

// Finish returns the first error. The decoder must not be used any more.
func (d *Decoder) Finish() error {
	err := d.err
	d.data, d.err = nil, nil
	d.reader.Reset(nil)
	decoders.Put(d)
	return err
}

// More reports whether the data has a further value after those that were read.
func (d *Decoder) More() bool { return d.err == nil && d.reader.Len() > 0 }

// Failed reports whether there was an error.
func (d *Decoder) Failed() bool { return d.err != nil }

func (d *Decoder) note(err error) {
	if err != nil && d.err == nil {
		d.err = fault.New("decode", KindMalformed, "%w", err)
	}
}

// Array reads the header of an array that has the given number of values.
func (d *Decoder) Array(length int) {
	if n := d.Length(); d.err == nil && n != length {
		d.err = fault.New("decode", KindMalformed, "an array of %d values; %d were expected", n, length)
	}
}

// Length reads the header of an array and returns its length; that of nil is 0.
func (d *Decoder) Length() int {
	return max(read(d, (*msgpack.Decoder).DecodeArrayLen), 0)
}

// Text reads a string.
func (d *Decoder) Text() string { return read(d, (*msgpack.Decoder).DecodeString) }

// Bytes reads bytes. The result is a part of the data that is decoded.
func (d *Decoder) Bytes() []byte {
	n := read(d, (*msgpack.Decoder).DecodeBytesLen)
	if d.err != nil || n < 0 {
		return nil
	}
	begin := len(d.data) - d.reader.Len()
	end := begin + n
	if end > len(d.data) {
		d.err = fault.New("decode", KindMalformed, "%d bytes; %d are left", n, d.reader.Len())
		return nil
	}
	d.reader.Reset(d.data[end:])
	return d.data[begin:end:end]
}

// Number reads an integer.
func (d *Decoder) Number() int64 { return read(d, (*msgpack.Decoder).DecodeInt64) }

// Unsigned reads an unsigned integer.
func (d *Decoder) Unsigned() uint64 { return read(d, (*msgpack.Decoder).DecodeUint64) }

// Octet reads an unsigned integer of one byte.
func (d *Decoder) Octet() uint8 {
	n := d.Unsigned()
	if n > math.MaxUint8 {
		d.note(errors.New("a number exceeds one byte"))
		return 0
	}
	return uint8(n)
}

// Duration reads a duration.
func (d *Decoder) Duration() time.Duration { return time.Duration(d.Number()) }

// Float reads a floating-point number.
func (d *Decoder) Float() float64 { return read(d, (*msgpack.Decoder).DecodeFloat64) }

// Flag reads a boolean.
func (d *Decoder) Flag() bool { return read(d, (*msgpack.Decoder).DecodeBool) }

// read reads a value unless there was an error.
func read[T any](d *Decoder, next func(*msgpack.Decoder) (T, error)) T {
	var zero T
	if d.err != nil {
		return zero
	}
	v, err := next(d.dec)
	if err != nil {
		d.note(err)
		return zero
	}
	return v
}
