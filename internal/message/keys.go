package message

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/peer"
)

// KeyHandoff tells that the owner of a share of keys has closed it. No key that
// was issued at From or later has come to it.
type KeyHandoff struct {
	Unit  string
	Epoch uint64
	// From is kept to the millisecond.
	From time.Time
}

// KeyHandoffAck answers KeysClosed.
type KeyHandoffAck struct{}

type keysClosedWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Unit     string
	Epoch    uint64
	From     int64
}

type keysClosedAckWire struct {
	_msgpack struct{} `msgpack:",as_array"`
}

var keysClosedCodec = codec[KeyHandoff, keysClosedWire]{
	kind: KindKeyHandoff,
	toWire: func(m KeyHandoff) keysClosedWire {
		return keysClosedWire{Unit: m.Unit, Epoch: m.Epoch, From: m.From.UnixMilli()}
	},
	fromWire: func(w keysClosedWire) KeyHandoff {
		return KeyHandoff{Unit: w.Unit, Epoch: w.Epoch, From: time.UnixMilli(w.From)}
	},
}

var keysClosedAckCodec = codec[KeyHandoffAck, keysClosedAckWire]{
	kind:     KindKeyHandoffAck,
	toWire:   func(KeyHandoffAck) keysClosedAckWire { return keysClosedAckWire{} },
	fromWire: func(keysClosedAckWire) KeyHandoffAck { return KeyHandoffAck{} },
}

// EncodeKeyHandoff returns the message as it is sent.
func EncodeKeyHandoff(m KeyHandoff) peer.Message { return keysClosedCodec.encode(m) }

// EncodeKeyHandoffAck returns the message as it is sent.
func EncodeKeyHandoffAck(m KeyHandoffAck) peer.Message { return keysClosedAckCodec.encode(m) }

// DecodeKeyHandoff reads the message, or says why it cannot.
func DecodeKeyHandoff(p peer.Message) (KeyHandoff, error) { return keysClosedCodec.decode(p) }

// DecodeKeyHandoffAck reads the message, or says why it cannot.
func DecodeKeyHandoffAck(p peer.Message) (KeyHandoffAck, error) {
	return keysClosedAckCodec.decode(p)
}
