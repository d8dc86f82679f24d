package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// conn is one connection with both hellos done. Either side may call.
type conn struct {
	transport *Transport
	raw       net.Conn
	remote    Host

	writeMu sync.Mutex

	mu       sync.Mutex
	lastCall uint64
	calls    map[uint64]chan envelope
	closed   bool
}

const (
	helloTimeout = 2 * time.Second
	writeTimeout = 2 * time.Second
)

// handshake exchanges hellos and returns the connection. It ends with its context, or
// after helloTimeout.
func (n *Transport) handshake(ctx context.Context, raw net.Conn) (*conn, *bufio.Reader, error) {
	_ = raw.SetDeadline(time.Now().Add(helloTimeout))
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Now()) })
	c, r, err := n.exchangeHellos(raw)
	if !stop() {
		return nil, nil, fault.New("hello", KindNotSent, "%w", ctx.Err())
	}
	_ = raw.SetDeadline(time.Time{})
	return c, r, err
}

func (n *Transport) exchangeHellos(raw net.Conn) (*conn, *bufio.Reader, error) {
	mine := hello{
		Version: Version, Name: n.self.Name, DataCentre: n.self.DataCentre, Incarnation: n.self.Incarnation,
	}
	frame, err := encodeFrame(mine)
	if err != nil {
		return nil, nil, err
	}
	if _, err := raw.Write(frame); err != nil {
		return nil, nil, err
	}
	r := bufio.NewReader(raw)
	var theirs hello
	if _, err := readFrame(r, maxHello, &theirs); err != nil {
		return nil, nil, err
	}
	if theirs.Version != Version {
		return nil, nil, fault.New("hello", KindMalformed, "peer %q speaks version %d; %d is needed", theirs.Name, theirs.Version, Version)
	}
	if theirs.Name == "" || theirs.Incarnation == "" {
		return nil, nil, fault.New("hello", KindMalformed, "Name %q, Incarnation %q", theirs.Name, theirs.Incarnation)
	}
	c := &conn{
		transport: n, raw: raw, calls: make(map[uint64]chan envelope),
		remote: Host{Name: theirs.Name, DataCentre: theirs.DataCentre, Incarnation: theirs.Incarnation},
	}
	return c, r, nil
}

// readLoop delivers answers and serves calls until the connection ends.
func (c *conn) readLoop(ctx context.Context, r *bufio.Reader) {
	defer c.close()
	for {
		var e envelope
		size, err := readFrame(r, MaxFrame, &e)
		if err != nil {
			return
		}
		c.transport.count(c.remote, directionIn, e.Kind, size)
		if e.Answer {
			c.deliver(e)
			continue
		}
		select {
		case c.transport.slots <- struct{}{}:
			c.transport.tasks.Go(func() {
				defer func() { <-c.transport.slots }()
				c.serve(ctx, e)
			})
		default:
			c.answer(envelope{Call: e.Call, Answer: true, Kind: e.Kind, Fault: "too many calls in progress"})
		}
	}
}

func (c *conn) serve(ctx context.Context, e envelope) {
	reply, err := c.transport.handler.Handle(ctx, c.remote, Message{Kind: e.Kind, Body: e.Body})
	out := envelope{Call: e.Call, Answer: true, Kind: reply.Kind, Body: reply.Body}
	if err != nil && ctx.Err() != nil {
		// The call was cut short by the end of this transport. A refusal would
		// say that nothing of it was carried out.
		c.close()
		return
	}
	if err != nil {
		out.Kind, out.Body, out.Fault = e.Kind, nil, err.Error()
	}
	c.answer(out)
}

func (c *conn) answer(e envelope) {
	frame, err := encodeFrame(e)
	if err != nil {
		frame, err = encodeFrame(envelope{Call: e.Call, Answer: true, Kind: e.Kind, Fault: err.Error()})
	}
	if err == nil {
		err = c.write(e.Kind, frame)
	}
	if err != nil {
		c.close()
	}
}

func (c *conn) write(kind uint8, frame []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	size, err := c.raw.Write(frame)
	c.transport.count(c.remote, directionOut, kind, size)
	return err
}

// call sends a message and waits for its answer.
func (c *conn) call(ctx context.Context, m Message) (Message, error) {
	number, answer, ok := c.register()
	if !ok {
		return Message{}, fault.New("call", KindNotSent, "connection to %s is closed", c.remote.Name)
	}
	defer c.unregister(number)

	frame, err := encodeFrame(envelope{Call: number, Kind: m.Kind, Body: m.Body})
	if err != nil {
		return Message{}, fault.New("call", KindNotSent, "%w", err)
	}
	if err := ctx.Err(); err != nil {
		return Message{}, fault.New("call", KindNotSent, "%w", err)
	}
	if err := c.write(m.Kind, frame); err != nil {
		c.close()
		return Message{}, fault.New("call", KindUnknown, "%w", err)
	}
	select {
	case e, ok := <-answer:
		if !ok {
			return Message{}, fault.New("call", KindUnknown, "connection to %s was lost", c.remote.Name)
		}
		if e.Fault != "" {
			return Message{}, fault.New("call", KindRefused, "%s: %s", c.remote.Name, e.Fault)
		}
		return Message{Kind: e.Kind, Body: e.Body}, nil
	case <-ctx.Done():
		return Message{}, fault.New("call", KindUnknown, "no answer from %s: %w", c.remote.Name, ctx.Err())
	}
}

// register returns the number of a new call and where its answer will come.
func (c *conn) register() (number uint64, answer chan envelope, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, nil, false
	}
	c.lastCall++
	answer = make(chan envelope, 1)
	c.calls[c.lastCall] = answer
	return c.lastCall, answer, true
}

func (c *conn) unregister(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, number)
}

// deliver hands an answer to its call. An answer that nobody waits for any
// more goes to no one else.
func (c *conn) deliver(e envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer, ok := c.calls[e.Call]; ok {
		delete(c.calls, e.Call)
		answer <- e
	}
}

func (c *conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	for number, answer := range c.calls {
		close(answer)
		delete(c.calls, number)
	}
	_ = c.raw.Close()
	c.transport.removeConn(c)
}
