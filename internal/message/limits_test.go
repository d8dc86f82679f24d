package message_test

import (
	"bytes"
	"encoding/binary"
	"runtime"
	"testing"

	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
)

// A message that fills a frame with empty elements must cost little memory.
func TestMessagesOfManyElementsAreRejected(t *testing.T) {
	const elements, maxMemory = peer.MaxFrame - 64, 16 << 20
	list := append(binary.BigEndian.AppendUint32([]byte{0xdd}, elements), bytes.Repeat([]byte{0xc0}, elements)...)
	for kind, test := range map[uint8]struct {
		before string
		decode func(peer.Message) error
	}{
		message.KindWorkersAnswer: {"\x91", func(m peer.Message) error { _, err := message.DecodeWorkersAnswer(m); return err }},
		message.KindStepAdvice:    {"\x93\xc2\x01", func(m peer.Message) error { _, err := message.DecodeStepAdvice(m); return err }},
		message.KindHostPing:      {"\x95\xa0\x01\xa0\x01\x01\x81\xa1x", func(m peer.Message) error { _, err := message.DecodeHostPing(m); return err }},
		message.KindOwnerPong:     {"\x98\xc3\xa0\xa0\x01", func(m peer.Message) error { _, err := message.DecodeOwnerPong(m); return err }},
	} {
		var before, after runtime.MemStats
		body := append([]byte(test.before), list...)
		runtime.ReadMemStats(&before)
		err := test.decode(peer.Message{Kind: kind, Body: body})
		runtime.ReadMemStats(&after)
		if err == nil {
			t.Errorf("kind %d: accepted", kind)
		}
		if used := after.TotalAlloc - before.TotalAlloc; used > maxMemory {
			t.Errorf("kind %d: %d bytes are allocated", kind, used)
		}
	}
}
