package message

import (
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// CellLookup asks the owner for the operator's view of the cell or of one job.
type CellLookup struct {
	// Job is the ID of the job, or empty for the cell.
	Job workload.JobID
}

// CellLookupReply answers CellLookup.
type CellLookupReply struct {
	// Document is the view in JSON. It is empty for an unknown job.
	Document []byte
}

type cellLookupWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
}

var cellLookupCodec = codec[CellLookup, cellLookupWire]{
	kind:     KindCellLookup,
	toWire:   func(m CellLookup) cellLookupWire { return cellLookupWire{Job: string(m.Job)} },
	fromWire: func(w cellLookupWire) CellLookup { return CellLookup{Job: workload.JobID(w.Job)} },
}

// EncodeCellLookup returns the encoded message.
func EncodeCellLookup(m CellLookup) peer.Message { return cellLookupCodec.encode(m) }

// DecodeCellLookup decodes the message. It fails if p is of another kind or its
// body is malformed.
func DecodeCellLookup(p peer.Message) (CellLookup, error) { return cellLookupCodec.decode(p) }

type cellLookupReplyWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Document []byte
}

var cellLookupReplyCodec = codec[CellLookupReply, cellLookupReplyWire]{
	kind:     KindCellLookupReply,
	toWire:   func(m CellLookupReply) cellLookupReplyWire { return cellLookupReplyWire{Document: m.Document} },
	fromWire: func(w cellLookupReplyWire) CellLookupReply { return CellLookupReply{Document: w.Document} },
}

// EncodeCellLookupReply returns the encoded message.
func EncodeCellLookupReply(m CellLookupReply) peer.Message { return cellLookupReplyCodec.encode(m) }

// DecodeCellLookupReply decodes the message. It fails if p is of another kind
// or its body is malformed.
func DecodeCellLookupReply(p peer.Message) (CellLookupReply, error) {
	return cellLookupReplyCodec.decode(p)
}
