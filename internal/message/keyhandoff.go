package message

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/peer"
)

// KeyHandoff announces that the owner of a key shard has closed it. The owner
// has received no key that was issued at From or later.
type KeyHandoff struct {
	// Unit is the lease unit of the key shard.
	Unit  string
	Epoch uint64
	// From is sent with a precision of a millisecond.
	From time.Time
}

// KeyHandoffAck acknowledges KeyHandoff.
type KeyHandoffAck struct{}

type keyHandoffWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Unit     string
	Epoch    uint64
	From     int64
}

type keyHandoffAckWire struct {
	_msgpack struct{} `msgpack:",as_array"`
}

var keyHandoffCodec = codec[KeyHandoff, keyHandoffWire]{
	kind: KindKeyHandoff,
	toWire: func(m KeyHandoff) keyHandoffWire {
		return keyHandoffWire{Unit: m.Unit, Epoch: m.Epoch, From: m.From.UnixMilli()}
	},
	fromWire: func(w keyHandoffWire) KeyHandoff {
		return KeyHandoff{Unit: w.Unit, Epoch: w.Epoch, From: time.UnixMilli(w.From)}
	},
}

var keyHandoffAckCodec = codec[KeyHandoffAck, keyHandoffAckWire]{
	kind:     KindKeyHandoffAck,
	toWire:   func(KeyHandoffAck) keyHandoffAckWire { return keyHandoffAckWire{} },
	fromWire: func(keyHandoffAckWire) KeyHandoffAck { return KeyHandoffAck{} },
}

// EncodeKeyHandoff returns the encoded message.
func EncodeKeyHandoff(m KeyHandoff) peer.Message { return keyHandoffCodec.encode(m) }

// EncodeKeyHandoffAck returns the encoded message.
func EncodeKeyHandoffAck(m KeyHandoffAck) peer.Message { return keyHandoffAckCodec.encode(m) }

// DecodeKeyHandoff decodes the message. It fails if p is of another kind or its
// body is malformed.
func DecodeKeyHandoff(p peer.Message) (KeyHandoff, error) { return keyHandoffCodec.decode(p) }

// DecodeKeyHandoffAck decodes the message. It fails if p is of another kind or
// its body is malformed.
func DecodeKeyHandoffAck(p peer.Message) (KeyHandoffAck, error) {
	return keyHandoffAckCodec.decode(p)
}
