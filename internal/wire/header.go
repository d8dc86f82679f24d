package wire

import (
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// header is the beginning of an encoded value. The content follows it: bytes of a
// scalar, or the values of an array or a map.
type header struct {
	// size is the size of the header in bytes.
	size   int
	bytes  uint64
	values uint64
}

const (
	codeSize = 1
	// extTypeSize is the size of the type of an extension value.
	extTypeSize = 1
	// valuesPerEntry is the number of values of an entry of a map.
	valuesPerEntry = 2
)

// readHeader reads the header at the beginning of data.
func readHeader(data []byte) (header, error) {
	if len(data) == 0 {
		return header{}, fault.New("check", KindMalformed, "the value is incomplete")
	}
	code := data[0]
	switch {
	case msgpcode.IsFixedNum(code):
		return header{size: codeSize}, nil
	case msgpcode.IsFixedMap(code):
		return header{size: codeSize, values: valuesPerEntry * uint64(code&msgpcode.FixedMapMask)}, nil
	case msgpcode.IsFixedArray(code):
		return header{size: codeSize, values: uint64(code & msgpcode.FixedArrayMask)}, nil
	case msgpcode.IsFixedString(code):
		return header{size: codeSize, bytes: uint64(code & msgpcode.FixedStrMask)}, nil
	}
	if n, ok := scalarSize(code); ok {
		return header{size: codeSize, bytes: n}, nil
	}
	return readLengthHeader(code, data)
}

// scalarSize returns the size of the content of a value whose code determines it.
func scalarSize(code byte) (uint64, bool) {
	switch code {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return 0, true
	case msgpcode.Uint8, msgpcode.Int8:
		return 1, true
	case msgpcode.Uint16, msgpcode.Int16:
		return 2, true
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return 4, true
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return 8, true
	case msgpcode.FixExt1:
		return extTypeSize + 1, true
	case msgpcode.FixExt2:
		return extTypeSize + 2, true
	case msgpcode.FixExt4:
		return extTypeSize + 4, true
	case msgpcode.FixExt8:
		return extTypeSize + 8, true
	case msgpcode.FixExt16:
		return extTypeSize + 16, true
	}
	return 0, false
}

// readLengthHeader reads the header of a value with a length field.
func readLengthHeader(code byte, data []byte) (header, error) {
	width := 0
	switch code {
	case msgpcode.Str8, msgpcode.Bin8, msgpcode.Ext8:
		width = 1
	case msgpcode.Str16, msgpcode.Bin16, msgpcode.Ext16, msgpcode.Array16, msgpcode.Map16:
		width = 2
	case msgpcode.Str32, msgpcode.Bin32, msgpcode.Ext32, msgpcode.Array32, msgpcode.Map32:
		width = 4
	default:
		return header{}, fault.New("check", KindMalformed, "unknown code %#x", code)
	}
	if len(data) < codeSize+width {
		return header{}, fault.New("check", KindMalformed, "the length of a value is incomplete")
	}
	length := bigEndian(data[codeSize : codeSize+width])
	h := header{size: codeSize + width}
	switch code {
	case msgpcode.Array16, msgpcode.Array32:
		h.values = length
	case msgpcode.Map16, msgpcode.Map32:
		h.values = valuesPerEntry * length
	case msgpcode.Ext8, msgpcode.Ext16, msgpcode.Ext32:
		h.bytes = extTypeSize + length
	default:
		h.bytes = length
	}
	return h, nil
}

// bigEndian returns the unsigned number of 1, 2 or 4 bytes.
func bigEndian(b []byte) uint64 {
	var padded [8]byte
	copy(padded[len(padded)-len(b):], b)
	return binary.BigEndian.Uint64(padded[:])
}
