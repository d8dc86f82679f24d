package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/lateanswer"
)

// conn is a connection on which both sides have exchanged hellos. Either side
// may make calls on it.
type conn struct {
	transport *Transport
	raw       net.Conn
	remote    Host
	// to is the address that was dialed; it is not valid if the peer has opened the
	// connection.
	to       netip.AddrPort
	activity *activity
	// serving counts the calls of the peer that are being served.
	serving atomic.Int32
	// inbound is the entry of a connection that the other host has opened, or nil.
	inbound *inboundConn
	// reading has the bytes that are reserved for the frame that readLoop reads.
	reading int64
	// progressAt is when the progress of an inbound connection was last recorded.
	progressAt time.Time

	// wake holds an element after a frame was queued or the connection was closed.
	wake chan struct{}

	mu       sync.Mutex
	lastCall uint64
	calls    map[uint64]*pendingCall
	late     lateCalls
	closed   bool
	// queue holds the frames that wait to be written, queuedBytes their size.
	queue       []outFrame
	queuedBytes int
	silence     silence
}

const (
	helloTimeout = 2 * time.Second
	writeTimeout = 2 * time.Second
	// maxFaultBytes bounds the error text of a refusal.
	maxFaultBytes = 1 << 10
)

// handshake exchanges hellos and returns the connection. It fails when its
// context ends or helloTimeout has passed.
func (t *Transport) handshake(ctx context.Context, raw net.Conn) (*conn, *bufio.Reader, error) {
	if err := boundSilence(raw); err != nil {
		t.log.Debug("the system bounds no unacknowledged data", zap.Error(err))
	}
	_ = raw.SetDeadline(time.Now().Add(helloTimeout))
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Now()) })
	c, r, err := t.exchangeHellos(raw)
	if !stop() {
		return nil, nil, fault.New("hello", KindNotSent, "%w", ctx.Err())
	}
	_ = raw.SetDeadline(time.Time{})
	return c, r, err
}

func (t *Transport) exchangeHellos(raw net.Conn) (*conn, *bufio.Reader, error) {
	local := hello{
		Version: Version, Name: t.self.Name, DataCentre: t.self.DataCentre, Incarnation: t.self.Incarnation,
	}
	frame, err := encodeFrame(local)
	if err != nil {
		return nil, nil, err
	}
	if _, err := raw.Write(frame); err != nil {
		return nil, nil, err
	}
	a, r := readerOf(raw)
	var remote hello
	if _, err := readFrame(r, maxHello, &remote); err != nil {
		return nil, nil, err
	}
	if remote.Version != Version {
		return nil, nil, fault.New("hello", KindMalformed, "peer %q speaks version %d; %d is needed", remote.Name, remote.Version, Version)
	}
	if remote.Name == "" || remote.Incarnation == "" {
		return nil, nil, fault.New("hello", KindMalformed, "hello without a name or an incarnation: Name %q, Incarnation %q", remote.Name, remote.Incarnation)
	}
	return t.attach(raw, a, remote), r, nil
}

// run reads and writes frames until the connection ends.
func (c *conn) run(ctx context.Context, r *bufio.Reader) {
	c.transport.background.Go(c.writeLoop)
	c.watchSilence()
	c.readLoop(ctx, r)
}

// readLoop delivers answers to their calls and serves the calls of the peer,
// until the connection ends.
func (c *conn) readLoop(ctx context.Context, r *bufio.Reader) {
	defer c.close()
	for {
		var e envelope
		size, reserved, err := c.nextFrame(r, &e)
		if err != nil {
			return
		}
		c.transport.count(c.remote, directionIn, e.Kind, size)
		if e.Answer {
			c.deliver(e)
			c.transport.inbound.release(reserved)
			continue
		}
		if e.Kind == kindHeartbeat {
			c.answer(envelope{Call: e.Call, Answer: true, Kind: kindHeartbeat})
			c.transport.inbound.release(reserved)
			continue
		}
		if c.transport.immediate[e.Kind] {
			c.serve(ctx, e)
			c.transport.inbound.release(reserved)
			continue
		}
		select {
		case c.transport.serving <- struct{}{}:
			c.serving.Add(1)
			c.transport.background.Go(func() {
				defer func() { <-c.transport.serving }()
				defer c.serving.Add(-1)
				defer c.transport.inbound.release(reserved)
				c.serve(ctx, e)
			})
		default:
			c.transport.inbound.release(reserved)
			c.answer(refusal(e, ErrBusy))
		}
	}
}

// serve handles a call of the peer. If the handler panics, the connection is closed,
// so that the peer does not know whether the call took effect.
func (c *conn) serve(ctx context.Context, e envelope) {
	defer func() {
		if v := recover(); v != nil {
			c.transport.log.Error("the handler of a call panicked", zap.String("Peer", c.remote.Name),
				zap.Uint8("Kind", e.Kind), zap.Any("Panic", v), zap.Stack("Stack"))
			c.close()
		}
	}()
	reply, err := c.transport.handler.Handle(ctx, c.remote, Message{Kind: e.Kind, Body: e.Body})
	out := envelope{Call: e.Call, Answer: true, Kind: reply.Kind, Body: reply.Body}
	if err != nil && ctx.Err() != nil {
		// The call was interrupted because this transport is closing. An error
		// answer would claim that no part of the call took effect, so the
		// connection is closed instead.
		c.close()
		return
	}
	if err != nil {
		out = refusal(e, err)
	}
	c.answer(out)
}

// refusal returns the answer to a call that was refused.
func refusal(e envelope, err error) envelope {
	out := envelope{Call: e.Call, Answer: true, Kind: e.Kind, Fault: err.Error()}
	if errors.Is(err, ErrBusy) {
		out.Kind = kindBusy
	}
	if len(out.Fault) > maxFaultBytes {
		out.Fault = out.Fault[:maxFaultBytes]
	}
	return out
}

// answer queues an answer. If the reply of a handler is too large for a frame, the
// answer does not claim that the call had no effect.
func (c *conn) answer(e envelope) {
	frame, err := encodeFrame(e)
	if err != nil {
		c.transport.log.Error("an answer is too large", zap.String("Peer", c.remote.Name), zap.Uint8("Kind", e.Kind), zap.Error(err))
		frame, err = encodeFrame(envelope{Call: e.Call, Answer: true, Kind: kindTooLong})
	}
	if err != nil || !c.enqueue(outFrame{kind: e.Kind, data: frame}) {
		c.close()
	}
}

// call sends a message and waits for the answer. The kind of its error tells
// whether the message may have been sent.
func (c *conn) call(ctx context.Context, m Message) (Message, error) {
	call, ok := c.register()
	if !ok {
		return Message{}, fault.New("call", KindNotSent, "connection to %s: %w", c.remote.Name, errClosed)
	}
	frame, err := encodeFrame(envelope{Call: call.number, Kind: m.Kind, Body: m.Body})
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		c.giveUp(call, nil)
		return Message{}, fault.New("call", KindNotSent, "%w", err)
	}
	if !c.enqueue(outFrame{kind: m.Kind, data: frame, call: call}) {
		c.giveUp(call, nil)
		return Message{}, fault.New("call", KindNotSent, "connection to %s is closed or has too many calls waiting", c.remote.Name)
	}
	select {
	case e, ok := <-call.answer:
		if !ok {
			return Message{}, c.lost(call)
		}
		return c.reply(e)
	case <-ctx.Done():
		if c.giveUp(call, lateanswer.From[Message](ctx)) {
			return Message{}, fault.New("call", KindNotSent, "%s reads no calls: %w", c.remote.Name, ctx.Err())
		}
		return Message{}, fault.New("call", KindUnknown, "no answer from %s: %w", c.remote.Name, ctx.Err())
	}
}

// reply returns the reply in an answer, or the error that it reports.
func (c *conn) reply(e envelope) (Message, error) {
	switch {
	case e.Fault != "" && e.Kind == kindBusy:
		return Message{}, fault.New("call", KindRefused, "%s: %w", c.remote.Name, ErrBusy)
	case e.Fault != "":
		return Message{}, fault.New("call", KindRefused, "%s: %s", c.remote.Name, e.Fault)
	case e.Kind == kindTooLong:
		return Message{}, fault.New("call", KindUnknown, "the answer of %s is too large", c.remote.Name)
	}
	return Message{Kind: e.Kind, Body: e.Body}, nil
}

// register returns a new call. It returns false if the connection is closed.
func (c *conn) register() (*pendingCall, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, false
	}
	c.lastCall++
	call := &pendingCall{number: c.lastCall, answer: make(chan envelope, 1)}
	c.calls[call.number] = call
	c.noteCall()
	return call, true
}

// deliver passes an answer to the call that waits for it. An answer whose call has already
// given up is dropped, unless the call takes late answers.
func (c *conn) deliver(e envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call, ok := c.calls[e.Call]; ok {
		delete(c.calls, e.Call)
		call.answer <- e
		return
	}
	if take := c.late.remove(e.Call); take != nil {
		if m, err := c.reply(e); err == nil {
			c.transport.background.Go(func() { take(m) })
		}
	}
}

func (c *conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

// closeLocked is close for a caller that holds the lock.
func (c *conn) closeLocked() {
	if c.closed {
		return
	}
	c.closed = true
	for number, call := range c.calls {
		close(call.answer)
		delete(c.calls, number)
	}
	c.late = lateCalls{}
	c.transport.inbound.answered(answerBytes(c.queue))
	c.queue, c.queuedBytes = nil, 0
	c.wakeWriter()
	_ = c.raw.Close()
	c.transport.removeConn(c)
}
