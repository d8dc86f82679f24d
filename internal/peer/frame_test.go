package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// earlierEnvelope and earlierHello are the forms that earlier releases encode and
// decode by reflection.
type earlierEnvelope struct {
	_msgpack struct{} `msgpack:",as_array"`
	Call     uint64
	Answer   bool
	Kind     uint8
	Body     []byte
	Fault    string
}

type earlierHello struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Version     int
	Name        string
	DataCentre  string
	Incarnation string
}

func earlierFrame(t *testing.T, v any) []byte {
	t.Helper()
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(v); err != nil {
		t.Fatal(err)
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(out.Len())), out.Bytes()...)
}

// Hosts of two releases talk to each other while a release is rolled out.
func TestFramesKeepTheFormOfEarlierReleases(t *testing.T) {
	for _, e := range []envelope{
		{},
		{Call: 1, Kind: 2, Body: []byte{}},
		{Call: 1 << 40, Answer: true, Kind: 200, Body: bytes.Repeat([]byte("b"), 70_000), Fault: "the call was refused, as it exceeds a limit"},
	} {
		frame := frameOf(t, e)
		if want := earlierFrame(t, earlierEnvelope{Call: e.Call, Answer: e.Answer, Kind: e.Kind, Body: e.Body, Fault: e.Fault}); !bytes.Equal(frame, want) {
			t.Errorf("call %d: %x; want %x", e.Call, frame, want)
		}
		var read envelope
		if size, err := readFrame(bufio.NewReader(bytes.NewReader(frame)), MaxFrame, &read); err != nil || size != len(frame) ||
			read.Call != e.Call || read.Answer != e.Answer || read.Kind != e.Kind || !bytes.Equal(read.Body, e.Body) || read.Fault != e.Fault {
			t.Errorf("call %d: %d of %d bytes are read as %+v, %v", e.Call, size, len(frame), read, err)
		}
	}
	h := hello{Version: 1, Name: "minami-1", DataCentre: "minami", Incarnation: "minami-1/7"}
	frame := frameOf(t, h)
	if want := earlierFrame(t, earlierHello{Version: 1, Name: h.Name, DataCentre: h.DataCentre, Incarnation: h.Incarnation}); !bytes.Equal(frame, want) {
		t.Errorf("hello: %x; want %x", frame, want)
	}
	var read hello
	if _, err := readFrame(bufio.NewReader(bytes.NewReader(frame)), maxHello, &read); err != nil || read != h {
		t.Errorf("hello: %+v, %v", read, err)
	}
}

func TestIncompleteFramesAreRejected(t *testing.T) {
	frame := frameOf(t, envelope{Call: 300, Answer: true, Kind: 2, Body: []byte("body"), Fault: "fault"})
	for n := range len(frame) {
		var e envelope
		if _, err := readFrame(bufio.NewReader(bytes.NewReader(frame[:n])), MaxFrame, &e); err == nil {
			t.Errorf("the first %d of %d bytes are read as %+v", n, len(frame), e)
		}
	}
	for _, fields := range []int{4, 6} {
		short := earlierFrame(t, make([]int, fields))
		var e envelope
		if _, err := readFrame(bufio.NewReader(bytes.NewReader(short)), MaxFrame, &e); err == nil {
			t.Errorf("an envelope of %d fields is read as %+v", fields, e)
		}
	}
}

// A kind of more than one byte must not be taken for another kind.
func TestFrameWithAKindOutOfRangeIsMalformed(t *testing.T) {
	frame := earlierFrame(t, []any{1, true, 256, []byte{}, ""})
	var read envelope
	if _, err := readFrame(bufio.NewReader(bytes.NewReader(frame)), MaxFrame, &read); err == nil {
		t.Errorf("a frame of kind 256 is read as %+v", read)
	}
}
