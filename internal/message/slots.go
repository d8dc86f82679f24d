package message

import "cicadabarrow.example/cicadabarrow/internal/peer"

type freeSlotsWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Groups   []groupSlotsWire
}

type groupSlotsWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Unit     string
	Free     int
	Waiting  int
}

var freeSlotsCodec = codec[FreeSlots, freeSlotsWire]{
	kind: KindFreeSlots,
	toWire: func(m FreeSlots) freeSlotsWire {
		return freeSlotsWire{Groups: mapSlice(m.Groups, func(g GroupSlots) groupSlotsWire {
			return groupSlotsWire{Unit: g.Unit, Free: g.Free, Waiting: g.Waiting}
		})}
	},
	fromWire: func(w freeSlotsWire) FreeSlots {
		return FreeSlots{Groups: mapSlice(w.Groups, func(g groupSlotsWire) GroupSlots {
			return GroupSlots{Unit: g.Unit, Free: g.Free, Waiting: g.Waiting}
		})}
	},
}

// EncodeFreeSlots returns the encoded message.
func EncodeFreeSlots(m FreeSlots) peer.Message { return freeSlotsCodec.encode(m) }

// DecodeFreeSlots decodes the message. It fails if p is of another kind or its
// body is malformed.
func DecodeFreeSlots(p peer.Message) (FreeSlots, error) { return freeSlotsCodec.decode(p) }

type freeSlotsAckWire struct {
	_msgpack struct{} `msgpack:",as_array"`
}

var freeSlotsAckCodec = codec[FreeSlotsAck, freeSlotsAckWire]{
	kind:     KindFreeSlotsAck,
	toWire:   func(FreeSlotsAck) freeSlotsAckWire { return freeSlotsAckWire{} },
	fromWire: func(freeSlotsAckWire) FreeSlotsAck { return FreeSlotsAck{} },
}

// EncodeFreeSlotsAck returns the encoded message.
func EncodeFreeSlotsAck(m FreeSlotsAck) peer.Message { return freeSlotsAckCodec.encode(m) }

// DecodeFreeSlotsAck decodes the message. It fails if p is of another kind or
// its body is malformed.
func DecodeFreeSlotsAck(p peer.Message) (FreeSlotsAck, error) { return freeSlotsAckCodec.decode(p) }
