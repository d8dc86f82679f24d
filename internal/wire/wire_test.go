package wire_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/wire"
)

// nested returns an array that contains an array, and so on.
func nested(depth int) []byte {
	return append(bytes.Repeat([]byte{0x91}, depth-1), 0x90)
}

func TestDeeplyNestedValuesAreRejected(t *testing.T) {
	for _, depth := range []int{1, 2, 33} {
		var v any
		if err := wire.Unmarshal(nested(depth), &v); err != nil {
			t.Errorf("depth %d: %v", depth, err)
		}
	}
	for _, depth := range []int{34, 100, 1_000_000} {
		var v any
		if err := wire.Unmarshal(nested(depth), &v); !fault.Is(err, wire.KindMalformed) {
			t.Errorf("depth %d: %v", depth, err)
		}
	}
	var known struct{ Known int }
	unknown := append([]byte{0x82, 0xa5}, "Known\x07\xa1x"...)
	if err := wire.Unmarshal(append(unknown, nested(1_000_000)...), &known); !fault.Is(err, wire.KindMalformed) {
		t.Errorf("an unknown field: %v", err)
	}
}

func TestMalformedValuesAreRejected(t *testing.T) {
	for name, data := range map[string]string{
		"no bytes":                         "",
		"an unknown code":                  "\xc1",
		"a short string":                   "\xa5abc",
		"a short length":                   "\xda\x00",
		"a map without its values":         "\x81\xa1a",
		"an array of 4,294,967,295 values": "\xdd\xff\xff\xff\xff",
		"a map of 4,294,967,295 entries":   "\xdf\xff\xff\xff\xff\x01",
		"bytes of 4,294,967,295":           "\xc6\xff\xff\xff\xff",
		"an extension of 4,294,967,295":    "\xc9\xff\xff\xff\xff\x01",
		"a string longer than the maximum": "\xdb\x01\x00\x00\x01" + strings.Repeat("x", wire.MaxBytes),
		"a number where text is expected":  "\x07",
		"a short number of a known length": "\xcf\x00\x00",
	} {
		var text string
		if err := wire.Unmarshal([]byte(data), &text); !fault.Is(err, wire.KindMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestValuesBeyondTheirLimitsAreRejected(t *testing.T) {
	for _, test := range []struct {
		limits wire.Limits
		data   string
		ok     bool
	}{
		{wire.Limits{Bytes: 3, Values: 3}, "\x92\xc0\xc0", true},
		{wire.Limits{Bytes: 3, Values: 2}, "\x92\xc0\xc0", false},
		{wire.Limits{Bytes: 2, Values: 3}, "\x92\xc0\xc0", false},
		{wire.Limits{Values: 5}, "\x82\xa1a\xc0\xa1b\xa3abc", true},
		{wire.Limits{Values: 4}, "\x82\xa1a\xc0\xa1b\xa3abc", false},
	} {
		var v any
		if err := wire.UnmarshalWithin(test.limits, []byte(test.data), &v); (err == nil) != test.ok || err != nil && !fault.Is(err, wire.KindMalformed) {
			t.Errorf("%x within %+v: %v", test.data, test.limits, err)
		}
	}
}

// maxCuts limits the incomplete values that are tried for each drawn one.
const maxCuts = 300

// TestMeasureAgreesWithTheLibrary draws values and compares their size with what the
// library's decoder skips.
func TestMeasureAgreesWithTheLibrary(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		data := drawValue(r, 4)
		trailing := rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(r, "trailing")
		size, err := wire.Measure(append(bytes.Clone(data), trailing...))
		if err != nil || size != len(data) {
			r.Fatalf("measured %d, %v of %d bytes %x", size, err, len(data), data)
		}
		for cut := range min(len(data), maxCuts) {
			if _, err := wire.Measure(data[:cut]); err == nil {
				r.Fatalf("%d of %d bytes are accepted: %x", cut, len(data), data)
			}
		}
	})
}

// TestMeasureAcceptsWhatTheLibrarySkips feeds arbitrary bytes.
func TestMeasureAcceptsWhatTheLibrarySkips(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(r, "data")
		size, err := wire.Measure(data)
		reader := bytes.NewReader(data)
		skipErr := msgpack.NewDecoder(reader).Skip()
		if err == nil && (skipErr != nil || reader.Len() != len(data)-size) {
			r.Fatalf("measured %d bytes of %x; the library: %v, %d bytes left", size, data, skipErr, reader.Len())
		}
	})
}

// drawValue draws an encoded value with at most the given depth.
func drawValue(r *rapid.T, depth int) []byte {
	kinds := 7
	if depth > 0 {
		kinds = 9
	}
	var v any
	switch rapid.IntRange(1, kinds).Draw(r, "kind") {
	case 1:
		v = rapid.Int64().Draw(r, "int")
	case 2:
		v = rapid.Uint64().Draw(r, "uint")
	case 3:
		v = rapid.Float64().Draw(r, "float")
	case 4:
		v = strings.Repeat("x", rapid.SampledFrom([]int{0, 31, 32, 255, 256, 70_000}).Draw(r, "length"))
	case 5:
		v = bytes.Repeat([]byte{1}, rapid.SampledFrom([]int{0, 255, 256, 70_000}).Draw(r, "length"))
	case 6:
		v = rapid.Bool().Draw(r, "bool")
	case 7:
		v = nil
	case 8:
		items := make([]msgpack.RawMessage, rapid.SampledFrom([]int{0, 1, 3, 17}).Draw(r, "items"))
		for i := range items {
			items[i] = drawValue(r, depth-1)
		}
		v = items
	case 9:
		entries := make(map[int]msgpack.RawMessage)
		for i := range rapid.SampledFrom([]int{0, 1, 17}).Draw(r, "entries") {
			entries[i] = drawValue(r, depth-1)
		}
		v = entries
	}
	data, err := msgpack.Marshal(v)
	if err != nil {
		r.Fatal(err)
	}
	return data
}
