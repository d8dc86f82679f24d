package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"slices"

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

// kindHeartbeat is the kind of a heartbeat and of its answer, which no message has. Hosts
// of earlier releases refuse it as a message that they do not know.
const kindHeartbeat uint8 = 254

// content is the content of a frame. It is encoded without reflection, as an array of
// its fields.
type content interface {
	encode(e *wire.Encoder)
}

// decodable is a content that can be decoded.
type decodable interface {
	decode(d *wire.Decoder)
}

// envelope is the content of a frame after the hellos.
type envelope struct {
	// Call is the number that matches an answer to its call.
	Call   uint64
	Answer bool
	Kind   uint8
	Body   []byte
	// Fault is the error text of an answer to a refused call.
	Fault string
}

// envelopeFields is the number of fields of an envelope.
const envelopeFields = 5

func (v envelope) encode(e *wire.Encoder) {
	e.Array(envelopeFields)
	e.Unsigned(v.Call)
	e.Flag(v.Answer)
	e.Unsigned(uint64(v.Kind))
	e.Bytes(v.Body)
	e.Text(v.Fault)
}

// decode decodes the envelope, whose Body stays a part of the frame.
func (v *envelope) decode(d *wire.Decoder) {
	d.Array(envelopeFields)
	v.Call = d.Unsigned()
	v.Answer = d.Flag()
	v.Kind = d.Octet()
	v.Body = d.Bytes()
	v.Fault = d.Text()
}

// hello is the content of the first frame that each side sends.
type hello struct {
	Version     int
	Name        string
	DataCentre  string
	Incarnation string
}

// helloFields is the number of fields of a hello.
const helloFields = 4

func (v hello) encode(e *wire.Encoder) {
	e.Array(helloFields)
	e.Number(int64(v.Version))
	e.Text(v.Name)
	e.Text(v.DataCentre)
	e.Text(v.Incarnation)
}

func (v *hello) decode(d *wire.Decoder) {
	d.Array(helloFields)
	v.Version = int(d.Number())
	v.Name = d.Text()
	v.DataCentre = d.Text()
	v.Incarnation = d.Text()
}

// encodeFrame returns a frame including its length field. It fails when the
// frame is larger than MaxFrame.
func encodeFrame(c content) ([]byte, error) {
	e := wire.NewEncoder()
	e.Reserve(lengthSize)
	c.encode(e)
	frame, err := e.Finish()
	if err != nil {
		return nil, fault.New("encode frame", KindMalformed, "%w", err)
	}
	size := len(frame) - lengthSize
	if size > MaxFrame {
		return nil, fault.New("encode frame", KindMalformed, "frame of %d bytes; at most %d are allowed", size, MaxFrame)
	}
	binary.BigEndian.PutUint32(frame, uint32(size))
	return frame, nil
}

// readFrame reads one frame of at most limit bytes into c and returns its size
// including the length field. A larger frame is rejected before its body is
// read.
func readFrame(r *bufio.Reader, limit uint32, c decodable) (int, error) {
	return readReservedFrame(r, limit, c, unreserved{})
}

// readReservedFrame is like readFrame, and reserves the bytes of the frame before its body
// is read.
func readReservedFrame(r *bufio.Reader, limit uint32, c decodable, m reserver) (int, error) {
	length, err := r.Peek(lengthSize)
	if err != nil {
		return 0, err
	}
	n := binary.BigEndian.Uint32(length)
	if n > limit {
		return 0, fault.New("read frame", KindMalformed, "frame of %d bytes; at most %d are allowed", n, limit)
	}
	if _, err := r.Discard(lengthSize); err != nil {
		return 0, err
	}
	if err := m.reserve(int(n)); err != nil {
		return 0, err
	}
	body, err := readBody(r, int(n))
	if err != nil {
		return 0, err
	}
	d := wire.NewDecoder(body)
	c.decode(d)
	if err := d.Finish(); err != nil {
		return 0, fault.New("read frame", KindMalformed, "%w", err)
	}
	return lengthSize + int(n), nil
}

// reservedBytes is the memory that is allocated for a frame before any of it arrives.
const reservedBytes = 64 << 10

// readBody reads n bytes.
func readBody(r io.Reader, n int) ([]byte, error) {
	body := make([]byte, 0, min(n, reservedBytes))
	for len(body) < n {
		if len(body) == cap(body) {
			body = slices.Grow(body, n-len(body))
		}
		read, err := io.ReadFull(r, body[len(body):min(cap(body), n)])
		if err != nil {
			return nil, err
		}
		body = body[:len(body)+read]
	}
	return body, nil
}
