package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/wire"
)

const (
	// MaxFrame is the largest size of a frame in bytes, without the length
	// field.
	MaxFrame = 4 << 20
	// Version is the protocol version that the hello carries.
	Version = 1

	// maxHello is the largest size of a hello in bytes.
	maxHello = 4 << 10

	lengthSize = 4
)

// Kinds of answers that no message has. Hosts of earlier releases do not know them: they
// take the first for a malformed answer and the second for any refusal.
const (
	// kindTooLong is the kind of an answer without a body, in place of one that is larger
	// than MaxFrame. The call has taken effect.
	kindTooLong uint8 = 0
	// kindBusy is the kind of a refusal with ErrBusy.
	kindBusy uint8 = 255
)

// envelope is the content of a frame on the wire.
type envelope struct {
	_msgpack struct{} `msgpack:",as_array"`
	// Call is the number that matches an answer to its call.
	Call   uint64
	Answer bool
	Kind   uint8
	Body   []byte
	// Fault is the error text of an answer to a refused call.
	Fault string
}

// hello is the content of the first frame that each side sends.
type hello struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Version     int
	Name        string
	DataCentre  string
	Incarnation string
}

// encodeFrame returns a frame including its length field. It fails when the
// frame is larger than MaxFrame.
func encodeFrame(v any) ([]byte, error) {
	var frame bytes.Buffer
	frame.Write(make([]byte, lengthSize))
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&frame)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(v); err != nil {
		return nil, fault.New("encode frame", KindMalformed, "%w", err)
	}
	size := frame.Len() - lengthSize
	if size > MaxFrame {
		return nil, fault.New("encode frame", KindMalformed, "frame of %d bytes; at most %d are allowed", size, MaxFrame)
	}
	binary.BigEndian.PutUint32(frame.Bytes(), uint32(size))
	return frame.Bytes(), nil
}

// readFrame reads one frame of at most limit bytes into v and returns its size
// including the length field. A larger frame is rejected before its body is
// read.
func readFrame(r io.Reader, limit uint32, v any) (int, error) {
	var length [lengthSize]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return 0, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > limit {
		return 0, fault.New("read frame", KindMalformed, "frame of %d bytes; at most %d are allowed", n, limit)
	}
	body, err := readBody(r, int(n))
	if err != nil {
		return 0, err
	}
	if err := wire.Unmarshal(body, v); err != nil {
		return 0, fault.New("read frame", KindMalformed, "%w", err)
	}
	return lengthSize + int(n), nil
}

// reservedBytes is the memory that is reserved for a frame before it arrives.
const reservedBytes = 64 << 10

// readBody reads n bytes.
func readBody(r io.Reader, n int) ([]byte, error) {
	body := make([]byte, 0, min(n, reservedBytes))
	for len(body) < n {
		if len(body) == cap(body) {
			body = slices.Grow(body, min(n-len(body), len(body)))
		}
		read, err := io.ReadFull(r, body[len(body):min(cap(body), n)])
		if err != nil {
			return nil, err
		}
		body = body[:len(body)+read]
	}
	return body, nil
}
