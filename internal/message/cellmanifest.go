package message

import "cicadabarrow.example/cicadabarrow/internal/peer"

// ManifestRequest asks a peer for its manifest, if it is newer than the sender's.
type ManifestRequest struct {
	// Version is that of the manifest that the sender has in force.
	Version uint64
}

// ManifestContent answers ManifestRequest.
type ManifestContent struct {
	// Content is the manifest as the operator wrote it. It is empty if the answering host
	// has no newer one, or has only just passed it on to others.
	Content []byte
}

type manifestRequestWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Version  uint64
}

type manifestContentWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Content  []byte
}

var manifestRequestCodec = codec[ManifestRequest, manifestRequestWire]{
	kind:     KindManifestRequest,
	toWire:   func(m ManifestRequest) manifestRequestWire { return manifestRequestWire{Version: m.Version} },
	fromWire: func(w manifestRequestWire) ManifestRequest { return ManifestRequest{Version: w.Version} },
}

var manifestContentCodec = codec[ManifestContent, manifestContentWire]{
	kind:     KindManifestContent,
	toWire:   func(m ManifestContent) manifestContentWire { return manifestContentWire{Content: m.Content} },
	fromWire: func(w manifestContentWire) ManifestContent { return ManifestContent{Content: w.Content} },
}

// EncodeManifestRequest returns the encoded message.
func EncodeManifestRequest(m ManifestRequest) peer.Message { return manifestRequestCodec.encode(m) }

// DecodeManifestRequest decodes the message. It fails if p is of another kind or its body
// is malformed.
func DecodeManifestRequest(p peer.Message) (ManifestRequest, error) {
	return manifestRequestCodec.decode(p)
}

// EncodeManifestContent returns the encoded message.
func EncodeManifestContent(m ManifestContent) peer.Message { return manifestContentCodec.encode(m) }

// DecodeManifestContent decodes the message. It fails if p is of another kind or its body
// is malformed.
func DecodeManifestContent(p peer.Message) (ManifestContent, error) {
	return manifestContentCodec.decode(p)
}
