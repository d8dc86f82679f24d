package message

import (
	"cicadabarrow.example/cicadabarrow/internal/peer"
)

type promiseRequestWire struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Unjournaled bool
}

var promiseRequestCodec = codec[PromiseRequest, promiseRequestWire]{
	kind: KindPromiseRequest,
	toWire: func(m PromiseRequest) promiseRequestWire {
		return promiseRequestWire{Unjournaled: m.Unjournaled}
	},
	fromWire: func(w promiseRequestWire) PromiseRequest {
		return PromiseRequest{Unjournaled: w.Unjournaled}
	},
}

// EncodePromiseRequest returns the encoded message.
func EncodePromiseRequest(m PromiseRequest) peer.Message { return promiseRequestCodec.encode(m) }

// DecodePromiseRequest decodes the message. It fails if p is of another kind or
// its body is malformed.
func DecodePromiseRequest(p peer.Message) (PromiseRequest, error) {
	return promiseRequestCodec.decode(p)
}

type promiseWire struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Granted     bool
	Unjournaled bool
}

var promiseCodec = codec[Promise, promiseWire]{
	kind: KindPromise,
	toWire: func(m Promise) promiseWire {
		return promiseWire{Granted: m.Granted, Unjournaled: m.Unjournaled}
	},
	fromWire: func(w promiseWire) Promise {
		return Promise{Granted: w.Granted, Unjournaled: w.Unjournaled}
	},
}

// EncodePromise returns the encoded message.
func EncodePromise(m Promise) peer.Message { return promiseCodec.encode(m) }

// DecodePromise decodes the message. It fails if p is of another kind or its
// body is malformed.
func DecodePromise(p peer.Message) (Promise, error) { return promiseCodec.decode(p) }

type fenceConsentRequestWire struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Incarnation string
	Version     uint64
}

var fenceConsentRequestCodec = codec[FenceConsentRequest, fenceConsentRequestWire]{
	kind: KindFenceConsentRequest,
	toWire: func(m FenceConsentRequest) fenceConsentRequestWire {
		return fenceConsentRequestWire{Incarnation: m.Incarnation, Version: m.Version}
	},
	fromWire: func(w fenceConsentRequestWire) FenceConsentRequest {
		return FenceConsentRequest{Incarnation: w.Incarnation, Version: w.Version}
	},
}

// EncodeFenceConsentRequest returns the encoded message.
func EncodeFenceConsentRequest(m FenceConsentRequest) peer.Message {
	return fenceConsentRequestCodec.encode(m)
}

// DecodeFenceConsentRequest decodes the message. It fails if p is of another
// kind or its body is malformed.
func DecodeFenceConsentRequest(p peer.Message) (FenceConsentRequest, error) {
	return fenceConsentRequestCodec.decode(p)
}

type fenceConsentWire struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Granted     bool
	Unjournaled bool
}

var fenceConsentCodec = codec[FenceConsent, fenceConsentWire]{
	kind: KindFenceConsent,
	toWire: func(m FenceConsent) fenceConsentWire {
		return fenceConsentWire{Granted: m.Granted, Unjournaled: m.Unjournaled}
	},
	fromWire: func(w fenceConsentWire) FenceConsent {
		return FenceConsent{Granted: w.Granted, Unjournaled: w.Unjournaled}
	},
}

// EncodeFenceConsent returns the encoded message.
func EncodeFenceConsent(m FenceConsent) peer.Message { return fenceConsentCodec.encode(m) }

// DecodeFenceConsent decodes the message. It fails if p is of another kind or
// its body is malformed.
func DecodeFenceConsent(p peer.Message) (FenceConsent, error) { return fenceConsentCodec.decode(p) }
