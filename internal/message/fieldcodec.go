package message

import (
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/wire"
)

// fieldCodec encodes a message as an array of fields, without reflection, since an owner
// sends and receives such messages with each call to a worker.
type fieldCodec[M any] struct {
	kind uint8
	// fields is the number of values that write encodes and read decodes.
	fields int
	write  func(*wire.Encoder, *M)
	read   func(*wire.Decoder) M
}

func (c fieldCodec[M]) encode(m M) peer.Message {
	e := wire.NewEncoder()
	e.Array(c.fields)
	c.write(e, &m)
	body, err := e.Finish()
	if err != nil {
		panic(err) // as in codec.encode
	}
	return peer.Message{Kind: c.kind, Body: body}
}

func (c fieldCodec[M]) decode(p peer.Message) (M, error) {
	var zero M
	if p.Kind != c.kind {
		return zero, fault.New("decode", KindMalformed, "kind %d; %d was expected", p.Kind, c.kind)
	}
	d := wire.NewDecoder(p.Body)
	d.Array(c.fields)
	m := c.read(d)
	if err := d.Finish(); err != nil {
		return zero, fault.New("decode", KindMalformed, "kind %d: %w", p.Kind, err)
	}
	return m, nil
}

// maxPreallocated is the largest number of elements for which a list is allocated before
// they are decoded.
const maxPreallocated = 64

func writeList[T any](e *wire.Encoder, list []T, write func(*wire.Encoder, *T)) {
	e.Array(len(list))
	for i := range list {
		write(e, &list[i])
	}
}

func readList[T any](d *wire.Decoder, read func(*wire.Decoder) T) []T {
	n := d.Length()
	out := make([]T, 0, min(n, maxPreallocated))
	for len(out) < n && !d.Failed() {
		out = append(out, read(d))
	}
	return out
}
