package message

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/peer"
)

// BurnQuery asks a host for its counts of good and bad events by objective.
type BurnQuery struct{}

// BurnAnswer answers BurnQuery.
type BurnAnswer struct {
	Host       string
	Objectives []ObjectiveBurn
}

// ObjectiveBurn holds the counts of a host for one objective.
type ObjectiveBurn struct {
	Team    string
	Name    string
	Since   time.Duration
	Window  BurnCounts
	Minutes []BurnCounts
}

// BurnCounts holds the number of good and of bad events of an objective.
type BurnCounts struct {
	Good uint64
	Bad  uint64
}

type burnQueryWire struct {
	_msgpack struct{} `msgpack:",as_array"`
}

type burnAnswerWire struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Host       string
	Objectives []objectiveBurnWire
}

type objectiveBurnWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Team     string
	Name     string
	Since    int64
	Window   [2]uint64
	Minutes  [][2]uint64
}

var burnQueryCodec = codec[BurnQuery, burnQueryWire]{
	kind:     KindBurnQuery,
	toWire:   func(BurnQuery) burnQueryWire { return burnQueryWire{} },
	fromWire: func(burnQueryWire) BurnQuery { return BurnQuery{} },
}

var burnAnswerCodec = codec[BurnAnswer, burnAnswerWire]{
	kind: KindBurnAnswer,
	toWire: func(m BurnAnswer) burnAnswerWire {
		return burnAnswerWire{Host: m.Host, Objectives: mapSlice(m.Objectives, func(l ObjectiveBurn) objectiveBurnWire {
			return objectiveBurnWire{
				Team: l.Team, Name: l.Name, Since: int64(l.Since), Window: encodeCounts(l.Window),
				Minutes: mapSlice(l.Minutes, encodeCounts),
			}
		})}
	},
	fromWire: func(w burnAnswerWire) BurnAnswer {
		return BurnAnswer{Host: w.Host, Objectives: mapSlice(w.Objectives, func(l objectiveBurnWire) ObjectiveBurn {
			return ObjectiveBurn{
				Team: l.Team, Name: l.Name, Since: time.Duration(l.Since), Window: decodeCounts(l.Window),
				Minutes: mapSlice(l.Minutes, decodeCounts),
			}
		})}
	},
}

func encodeCounts(c BurnCounts) [2]uint64 { return [2]uint64{c.Good, c.Bad} }

func decodeCounts(w [2]uint64) BurnCounts { return BurnCounts{Good: w[0], Bad: w[1]} }

// EncodeBurnQuery returns the encoded message.
func EncodeBurnQuery(m BurnQuery) peer.Message { return burnQueryCodec.encode(m) }

// EncodeBurnAnswer returns the encoded message.
func EncodeBurnAnswer(m BurnAnswer) peer.Message { return burnAnswerCodec.encode(m) }

// DecodeBurnQuery decodes the message. It fails if p is of another kind or its
// body is malformed.
func DecodeBurnQuery(p peer.Message) (BurnQuery, error) { return burnQueryCodec.decode(p) }

// DecodeBurnAnswer decodes the message. It fails if p is of another kind or its
// body is malformed.
func DecodeBurnAnswer(p peer.Message) (BurnAnswer, error) { return burnAnswerCodec.decode(p) }
