// Package peer carries messages between entry hosts over TCP.
//
// A connection starts with a hello from each side, which carries the protocol
// version and the identity of the host. After that, each side sends frames. A
// frame is a length of four bytes followed by a msgpack envelope, which holds
// the number of the call, the kind of the message and its body. A frame larger
// than MaxFrame is rejected before its body is read.
//
// Frames that are queued while others are being written go out together.
//
// A connection on which a peer sends nothing for a while gets a heartbeat, and
// is replaced if the peer answers on a new connection and not on it. See silence.go.
//
// Transport is the transport of one entry host. It answers calls through a
// Handler, and calls each peer over one connection that it opens on first use.
package peer
