package message

import (
	"cicadabarrow.example/cicadabarrow/internal/peer"
)

type askPromiseWire struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Unjournaled bool
}

var askPromiseCodec = codec[PromiseRequest, askPromiseWire]{
	kind: KindPromiseRequest,
	to: func(m PromiseRequest) askPromiseWire {
		return askPromiseWire{Unjournaled: m.Unjournaled}
	},
	from: func(w askPromiseWire) PromiseRequest {
		return PromiseRequest{Unjournaled: w.Unjournaled}
	},
}

// EncodePromiseRequest returns the message as it is sent.
func EncodePromiseRequest(m PromiseRequest) peer.Message { return askPromiseCodec.encode(m) }

// DecodePromiseRequest reads the message, or says why it cannot.
func DecodePromiseRequest(p peer.Message) (PromiseRequest, error) { return askPromiseCodec.decode(p) }

type promiseWire struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Yes         bool
	Unjournaled bool
}

var promiseCodec = codec[Promise, promiseWire]{
	kind: KindPromise,
	to: func(m Promise) promiseWire {
		return promiseWire{Yes: m.Granted, Unjournaled: m.Unjournaled}
	},
	from: func(w promiseWire) Promise {
		return Promise{Granted: w.Yes, Unjournaled: w.Unjournaled}
	},
}

// EncodePromise returns the message as it is sent.
func EncodePromise(m Promise) peer.Message { return promiseCodec.encode(m) }

// DecodePromise reads the message, or says why it cannot.
func DecodePromise(p peer.Message) (Promise, error) { return promiseCodec.decode(p) }

type askWordWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	About    string
	Version  uint64
}

var askWordCodec = codec[FenceConsentRequest, askWordWire]{
	kind: KindFenceConsentRequest,
	to: func(m FenceConsentRequest) askWordWire {
		return askWordWire{About: m.Incarnation, Version: m.Version}
	},
	from: func(w askWordWire) FenceConsentRequest {
		return FenceConsentRequest{Incarnation: w.About, Version: w.Version}
	},
}

// EncodeFenceConsentRequest returns the message as it is sent.
func EncodeFenceConsentRequest(m FenceConsentRequest) peer.Message { return askWordCodec.encode(m) }

// DecodeFenceConsentRequest reads the message, or says why it cannot.
func DecodeFenceConsentRequest(p peer.Message) (FenceConsentRequest, error) { return askWordCodec.decode(p) }

type wordWire struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Yes         bool
	Unjournaled bool
}

var wordCodec = codec[FenceConsent, wordWire]{
	kind: KindFenceConsent,
	to: func(m FenceConsent) wordWire {
		return wordWire{Yes: m.Granted, Unjournaled: m.Unjournaled}
	},
	from: func(w wordWire) FenceConsent {
		return FenceConsent{Granted: w.Yes, Unjournaled: w.Unjournaled}
	},
}

// EncodeFenceConsent returns the message as it is sent.
func EncodeFenceConsent(m FenceConsent) peer.Message { return wordCodec.encode(m) }

// DecodeFenceConsent reads the message, or says why it cannot.
func DecodeFenceConsent(p peer.Message) (FenceConsent, error) { return wordCodec.decode(p) }
