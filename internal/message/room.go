package message

import "cicadabarrow.example/cicadabarrow/internal/peer"

type roomWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Groups   []groupRoomWire
}

type groupRoomWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Unit     string
	Free     int
	Waiting  int
}

var roomCodec = codec[FreeSlots, roomWire]{
	kind: KindFreeSlots,
	to: func(m FreeSlots) roomWire {
		return roomWire{Groups: mapEach(m.Groups, func(g GroupSlots) groupRoomWire {
			return groupRoomWire{Unit: g.Unit, Free: g.Free, Waiting: g.Waiting}
		})}
	},
	from: func(w roomWire) FreeSlots {
		return FreeSlots{Groups: mapEach(w.Groups, func(g groupRoomWire) GroupSlots {
			return GroupSlots{Unit: g.Unit, Free: g.Free, Waiting: g.Waiting}
		})}
	},
}

// EncodeFreeSlots returns the message as it is sent.
func EncodeFreeSlots(m FreeSlots) peer.Message { return roomCodec.encode(m) }

// DecodeFreeSlots reads the message, or says why it cannot.
func DecodeFreeSlots(p peer.Message) (FreeSlots, error) { return roomCodec.decode(p) }

type roomHeardWire struct {
	_msgpack struct{} `msgpack:",as_array"`
}

var roomHeardCodec = codec[FreeSlotsAck, roomHeardWire]{
	kind: KindFreeSlotsAck,
	to:   func(FreeSlotsAck) roomHeardWire { return roomHeardWire{} },
	from: func(roomHeardWire) FreeSlotsAck { return FreeSlotsAck{} },
}

// EncodeFreeSlotsAck returns the message as it is sent.
func EncodeFreeSlotsAck(m FreeSlotsAck) peer.Message { return roomHeardCodec.encode(m) }

// DecodeFreeSlotsAck reads the message, or says why it cannot.
func DecodeFreeSlotsAck(p peer.Message) (FreeSlotsAck, error) { return roomHeardCodec.decode(p) }
