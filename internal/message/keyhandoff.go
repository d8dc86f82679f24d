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

// EncodeKeyHandoff returns the message as it is sent.
func EncodeKeyHandoff(m KeyHandoff) peer.Message { return keyHandoffCodec.encode(m) }

// EncodeKeyHandoffAck returns the message as it is sent.
func EncodeKeyHandoffAck(m KeyHandoffAck) peer.Message { return keyHandoffAckCodec.encode(m) }

// DecodeKeyHandoff reads the message, or says why it cannot.
func DecodeKeyHandoff(p peer.Message) (KeyHandoff, error) { return keyHandoffCodec.decode(p) }

// DecodeKeyHandoffAck reads the message, or says why it cannot.
func DecodeKeyHandoffAck(p peer.Message) (KeyHandoffAck, error) {
	return keyHandoffAckCodec.decode(p)
}
