package message

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/wire"
)

// Kind classifies the errors of this package.
type Kind string

// KindMalformed means that a message could not be decoded.
const KindMalformed Kind = "malformed message"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// limits bounds a message. The shortest lists of jobs and workers that fill a frame have
// fewer values.
var limits = wire.Limits{Bytes: peer.MaxFrame, Values: 1 << 20}

// codec converts a message to its wire type and back, and encodes the wire type.
type codec[M, W any] struct {
	kind     uint8
	toWire   func(M) W
	fromWire func(W) M
}

func (c codec[M, W]) messageKind() uint8 { return c.kind }

func (c codec[M, W]) encode(m M) peer.Message {
	var body bytes.Buffer
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&body)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(c.toWire(m)); err != nil {
		// The wire types hold only strings, numbers, booleans and lists of
		// these, which can always be encoded.
		panic(err)
	}
	return peer.Message{Kind: c.kind, Body: body.Bytes()}
}

func (c codec[M, W]) decode(p peer.Message) (M, error) {
	var zero M
	if p.Kind != c.kind {
		return zero, fault.New("decode", KindMalformed, "kind %d; %d was expected", p.Kind, c.kind)
	}
	var w W
	if err := wire.UnmarshalWithin(limits, p.Body, &w); err != nil {
		return zero, fault.New("decode", KindMalformed, "kind %d: %w", p.Kind, err)
	}
	return c.fromWire(w), nil
}

// appendExtension adds a second value to the body of a message. Hosts of earlier
// releases decode only the first one.
func appendExtension(p peer.Message, extension any) peer.Message {
	value, err := msgpack.Marshal(extension)
	if err != nil {
		panic(err) // as in encode
	}
	p.Body = append(p.Body, value...)
	return p
}

// decodeExtension decodes the second value of a body. If there is none, since the
// sender is of an earlier release, it leaves extension unchanged.
func decodeExtension(p peer.Message, extension any) error {
	size, err := wire.MeasureWithin(limits, p.Body)
	if err == nil && size < len(p.Body) {
		err = wire.UnmarshalWithin(limits, p.Body[size:], extension)
	}
	if err != nil {
		return fault.New("decode", KindMalformed, "kind %d: %w", p.Kind, err)
	}
	return nil
}

type revisionWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Team     string
	Revision uint64
}

func encodeRevision(r TeamRevision) revisionWire {
	return revisionWire{Team: r.Team, Revision: r.Revision}
}

func decodeRevision(w revisionWire) TeamRevision {
	return TeamRevision{Team: w.Team, Revision: w.Revision}
}

func mapSlice[A, B any](in []A, f func(A) B) []B {
	out := make([]B, 0, len(in))
	for _, v := range in {
		out = append(out, f(v))
	}
	return out
}
