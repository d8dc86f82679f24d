package message

import (
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// CellLookup asks the owner for what an operator sees of the cell, or of one job.
type CellLookup struct {
	// Job is empty for the cell.
	Job workload.JobID
}

// CellLookupReply answers CellLookup.
type CellLookupReply struct {
	// Document is in JSON; empty for a job that the owner does not know.
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

// EncodeCellLookup returns the message as it is sent.
func EncodeCellLookup(m CellLookup) peer.Message { return cellLookupCodec.encode(m) }

// DecodeCellLookup reads the message, or says why it cannot.
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

// EncodeCellLookupReply returns the message as it is sent.
func EncodeCellLookupReply(m CellLookupReply) peer.Message { return cellLookupReplyCodec.encode(m) }

// DecodeCellLookupReply reads the message, or says why it cannot.
func DecodeCellLookupReply(p peer.Message) (CellLookupReply, error) {
	return cellLookupReplyCodec.decode(p)
}
