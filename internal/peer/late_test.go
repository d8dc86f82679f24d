package peer

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/lateanswer"
)

// withScriptedPeer runs a test in virtual time with a transport whose peer answers each call
// when the test tells it to.
func withScriptedPeer(t *testing.T, test func(t *testing.T, n *Transport, answer func(e envelope))) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		n := New(Host{Name: "client", Incarnation: "client-1"}, idleListener{closed: make(chan struct{})},
			newPipeDialer(local), handlerFunc(echo), tally.NoopScope, zap.NewNop())
		defer n.Close()
		defer func() { _ = remote.Close() }()
		go func() {
			buffer := make([]byte, maxHello)
			_, _ = remote.Read(buffer)
			_, _ = remote.Write(frameOf(t, validHello()))
			for { // reads all calls
				if _, err := remote.Read(buffer); err != nil {
					return
				}
			}
		}()
		test(t, n, func(e envelope) {
			e.Answer = true
			_, _ = remote.Write(frameOf(t, e))
		})
	})
}

// askLate makes a call that gives up after a timeout, and returns the late answers.
func askLate(t *testing.T, n *Transport, timeout time.Duration) <-chan Message {
	late := make(chan Message, 2)
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	ctx = lateanswer.With(ctx, func(m Message) { late <- m })
	if _, _, err := n.Ask(ctx, unresponsiveAddr, Message{Kind: 1}); !fault.Is(err, KindUnknown) {
		t.Errorf("the call that gave up: %v", err)
	}
	return late
}

// Guards against the loss of an answer that arrives after its call has given up, as those do
// that wait while this process is short of processor time, and against one that is taken twice.
func TestLateAnswerIsTakenOnce(t *testing.T) {
	withScriptedPeer(t, func(t *testing.T, n *Transport, answer func(envelope)) {
		late := askLate(t, n, 100*time.Millisecond)
		e := envelope{Call: 1, Kind: 2, Body: []byte("body")}
		answer(e)
		answer(e)
		synctest.Wait()
		if len(late) != 1 {
			t.Fatalf("%d answers were taken", len(late))
		}
		if m := <-late; m.Kind != 2 || string(m.Body) != "body" {
			t.Errorf("got %+v", m)
		}
	})
}

// Guards against a refusal that is taken for an answer.
func TestLateRefusalIsDropped(t *testing.T) {
	withScriptedPeer(t, func(t *testing.T, n *Transport, answer func(envelope)) {
		late := askLate(t, n, 100*time.Millisecond)
		answer(envelope{Call: 1, Kind: 2, Fault: "scripted"})
		synctest.Wait()
		if len(late) > 0 {
			t.Errorf("got %+v", <-late)
		}
	})
}

// Guards against a peer that answers no call and makes this host keep what it knows of each.
func TestLateCallsAreBounded(t *testing.T) {
	var l lateCalls
	taken := ""
	for number := range uint64(3 * maxLateCalls) {
		l.add(number, func(Message) { taken += fmt.Sprint(number, " ") })
		if number%3 == 0 {
			l.remove(number)
		}
	}
	if len(l.take) > maxLateCalls || len(l.order) > maxLateCalls {
		t.Errorf("%d calls are kept, and %d numbers", len(l.take), len(l.order))
	}
	if l.remove(1) != nil {
		t.Error("the call that gave up first is still kept")
	}
	last := uint64(3*maxLateCalls - 1)
	take := l.remove(last)
	if take == nil {
		t.Fatal("the call that gave up last is not kept")
	}
	if take(Message{}); taken != fmt.Sprint(last, " ") || l.remove(last) != nil {
		t.Errorf("took %q", taken)
	}
}
