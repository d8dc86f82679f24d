package message

import (
	"cicadabarrow.example/cicadabarrow/internal/peer"
)

type planDigestWire struct {
	_msgpack    struct{} `msgpack:",as_array"`
	MaxRevision uint64
	Sum         uint64
	Revisions   []revisionWire
}

var planDigestCodec = codec[PlanDigest, planDigestWire]{
	kind: KindPlanDigest,
	toWire: func(m PlanDigest) planDigestWire {
		return planDigestWire{MaxRevision: m.MaxRevision, Sum: m.Sum, Revisions: mapSlice(m.Revisions, encodeRevision)}
	},
	fromWire: func(w planDigestWire) PlanDigest {
		return PlanDigest{MaxRevision: w.MaxRevision, Sum: w.Sum, Revisions: mapSlice(w.Revisions, decodeRevision)}
	},
}

// EncodePlanDigest returns the encoded message.
func EncodePlanDigest(m PlanDigest) peer.Message { return planDigestCodec.encode(m) }

// DecodePlanDigest decodes the message. It fails if p is of another kind or its
// body is malformed.
func DecodePlanDigest(p peer.Message) (PlanDigest, error) { return planDigestCodec.decode(p) }

type planSectionsWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Same     bool
	Sections [][]byte
}

var planSectionsCodec = codec[PlanSections, planSectionsWire]{
	kind: KindPlanSections,
	toWire: func(m PlanSections) planSectionsWire {
		return planSectionsWire{Same: m.Same, Sections: m.Sections}
	},
	fromWire: func(w planSectionsWire) PlanSections {
		return PlanSections{Same: w.Same, Sections: w.Sections}
	},
}

// EncodePlanSections returns the encoded message.
func EncodePlanSections(m PlanSections) peer.Message { return planSectionsCodec.encode(m) }

// DecodePlanSections decodes the message. It fails if p is of another kind or
// its body is malformed.
func DecodePlanSections(p peer.Message) (PlanSections, error) { return planSectionsCodec.decode(p) }

type statusQueryWire struct {
	_msgpack struct{} `msgpack:",as_array"`
}

var statusQueryCodec = codec[StatusQuery, statusQueryWire]{
	kind: KindStatusQuery,
	toWire: func(StatusQuery) statusQueryWire {
		return statusQueryWire{}
	},
	fromWire: func(statusQueryWire) StatusQuery {
		return StatusQuery{}
	},
}

// EncodeStatusQuery returns the encoded message.
func EncodeStatusQuery(m StatusQuery) peer.Message { return statusQueryCodec.encode(m) }

type statusAnswerWire struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Name       string
	DataCentre string
	Revisions  []revisionWire
	Units      []string
}

var statusAnswerCodec = codec[StatusAnswer, statusAnswerWire]{
	kind: KindStatusAnswer,
	toWire: func(m StatusAnswer) statusAnswerWire {
		return statusAnswerWire{Name: m.Name, DataCentre: m.DataCentre, Revisions: mapSlice(m.Revisions, encodeRevision), Units: m.Units}
	},
	fromWire: func(w statusAnswerWire) StatusAnswer {
		return StatusAnswer{Name: w.Name, DataCentre: w.DataCentre, Revisions: mapSlice(w.Revisions, decodeRevision), Units: w.Units}
	},
}

// EncodeStatusAnswer returns the encoded message.
func EncodeStatusAnswer(m StatusAnswer) peer.Message { return statusAnswerCodec.encode(m) }

// DecodeStatusAnswer decodes the message. It fails if p is of another kind or
// its body is malformed.
func DecodeStatusAnswer(p peer.Message) (StatusAnswer, error) { return statusAnswerCodec.decode(p) }
