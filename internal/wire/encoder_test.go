package wire_test

import (
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/wire"
)

// values is one value of each kind.
type values struct {
	text     string
	bytes    []byte
	number   int64
	unsigned uint64
	duration time.Duration
	float    float64
	flag     bool
	list     []int64
}

const fields = 8

func (v *values) encode(e *wire.Encoder) {
	e.Array(fields)
	e.Text(v.text)
	e.Bytes(v.bytes)
	e.Number(v.number)
	e.Unsigned(v.unsigned)
	e.Duration(v.duration)
	e.Float(v.float)
	e.Flag(v.flag)
	e.Optional(len(v.list))
	for _, n := range v.list {
		e.Number(n)
	}
}

func decodeValues(d *wire.Decoder) values {
	d.Array(fields)
	v := values{
		text: d.Text(), bytes: d.Bytes(), number: d.Number(), unsigned: d.Unsigned(), duration: d.Duration(), float: d.Float(), flag: d.Flag(),
	}
	for range d.Length() {
		v.list = append(v.list, d.Number())
	}
	return v
}

func (v *values) equal(w values) bool {
	if len(v.list) != len(w.list) {
		return false
	}
	for i := range v.list {
		if v.list[i] != w.list[i] {
			return false
		}
	}
	return v.text == w.text && bytes.Equal(v.bytes, w.bytes) && v.number == w.number && v.unsigned == w.unsigned &&
		v.duration == w.duration && v.float == w.float && v.flag == w.flag
}

// Encoders and decoders come from a pool: one use must leave nothing to the next.
func TestAnyValuesAreDecodedAsEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := values{
			text: rapid.String().Draw(t, "text"), bytes: rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"), number: rapid.Int64().Draw(t, "number"),
			unsigned: rapid.Uint64().Draw(t, "unsigned"), duration: time.Duration(rapid.Int64().Draw(t, "duration")),
			float: rapid.Float64().Draw(t, "float"), flag: rapid.Bool().Draw(t, "flag"), list: rapid.SliceOf(rapid.Int64()).Draw(t, "list"),
		}
		e := wire.NewEncoder()
		v.encode(e)
		data, err := e.Finish()
		if err != nil {
			t.Fatal(err)
		}
		cut := rapid.IntRange(0, len(data)-1).Draw(t, "cut")
		d := wire.NewDecoder(data[:cut])
		if got := decodeValues(d); !got.equal(values{}) || !d.Failed() {
			t.Fatalf("the first %d of %d bytes are decoded as %+v", cut, len(data), got)
		}
		if err := d.Finish(); !fault.Is(err, wire.KindMalformed) {
			t.Fatalf("the first %d of %d bytes: %v", cut, len(data), err)
		}
		d = wire.NewDecoder(append(data, 0xc1))
		if got := decodeValues(d); !v.equal(got) {
			t.Fatalf("%+v is decoded as %+v", v, got)
		}
		if err := d.Finish(); err != nil {
			t.Fatal(err)
		}
	})
}

func TestDecoderKeepsTheFirstError(t *testing.T) {
	e := wire.NewEncoder()
	e.Array(2)
	e.Text("a")
	e.Number(5)
	data, err := e.Finish()
	if err != nil {
		t.Fatal(err)
	}
	for name, decode := range map[string]func(*wire.Decoder) bool{
		"a longer array":      func(d *wire.Decoder) bool { d.Array(3); return d.Text() == "" },
		"another type":        func(d *wire.Decoder) bool { d.Array(2); return d.Number() == 0 && d.Text() == "" && d.Number() == 0 },
		"a missing value":     func(d *wire.Decoder) bool { d.Array(2); d.Text(); d.Number(); return d.Text() == "" },
		"bytes for a number":  func(d *wire.Decoder) bool { d.Array(2); d.Text(); return d.Bytes() == nil && d.Number() == 0 },
		"an array for a text": func(d *wire.Decoder) bool { return d.Text() == "" && d.Length() == 0 },
	} {
		d := wire.NewDecoder(data)
		if !decode(d) || !d.Failed() {
			t.Errorf("%s: values are decoded", name)
		}
		if err := d.Finish(); !fault.Is(err, wire.KindMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
