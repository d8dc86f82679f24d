package peer

import (
	"net"
	"runtime"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// maxQueuedBytes bounds the frames that wait to be written on one connection.
const maxQueuedBytes = 2 * MaxFrame

// outFrame is a frame that waits to be written.
type outFrame struct {
	kind uint8
	data []byte
	// call is the call that the frame carries, or nil if it carries an answer.
	call *pendingCall
}

// pendingCall is a call without an answer.
type pendingCall struct {
	number uint64
	// answer receives the answer. It is closed if the connection is lost.
	answer chan envelope
	// sent is set while the peer may have received a part of the frame. The lock of
	// the connection guards it.
	sent bool
}

// enqueue queues a frame for writeLoop. It returns false if the connection is closed
// or has too many frames queued, and then no part of the frame is written.
func (c *conn) enqueue(f outFrame) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.enqueueLocked(f)
}

// enqueueLocked is enqueue for a caller that holds the lock.
func (c *conn) enqueueLocked(f outFrame) bool {
	if c.closed || c.queuedBytes > 0 && c.queuedBytes+len(f.data) > maxQueuedBytes {
		return false
	}
	if f.call == nil && !c.transport.inbound.queueAnswer(int64(len(f.data)), int64(c.queuedBytes)) {
		return false
	}
	c.queue = append(c.queue, f)
	c.queuedBytes += len(f.data)
	c.wakeWriter()
	return true
}

// answerBytes returns the bytes of the answers among frames.
func answerBytes(frames []outFrame) (bytes int64) {
	for _, f := range frames {
		if f.call == nil {
			bytes += int64(len(f.data))
		}
	}
	return bytes
}

// wakeWriter makes writeLoop look at the queue.
func (c *conn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// giveUp ends a call that no longer waits for its answer. It returns true if no part of the
// call was sent, in which case its frame is not sent either. Otherwise take gets the answer
// once it arrives, unless it is nil.
func (c *conn) giveUp(call *pendingCall, take func(Message)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, waiting := c.calls[call.number]
	delete(c.calls, call.number)
	if call.sent {
		c.takeLate(call, waiting, take)
		return false
	}
	for i, f := range c.queue {
		if f.call == call {
			c.queuedBytes -= len(f.data)
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			break
		}
	}
	return true
}

// wasSent reports whether the peer may have received a part of a call.
func (c *conn) wasSent(call *pendingCall) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return call.sent
}

// writeLoop writes the queued frames until the connection is closed. Frames that are
// queued while others are being written are written together.
func (c *conn) writeLoop() {
	for range c.wake {
		// Other goroutines that can run may queue further frames for this write.
		runtime.Gosched()
		frames, open := c.takeQueued()
		if !open {
			return
		}
		if len(frames) > 0 && !c.write(frames) {
			return
		}
	}
}

// takeQueued empties the queue and marks the calls as sent. It returns false if the
// connection is closed.
func (c *conn) takeQueued() ([]outFrame, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, false
	}
	frames := c.queue
	c.queue, c.queuedBytes = nil, 0
	for _, f := range frames {
		if f.call != nil {
			f.call.sent = true
		}
	}
	return frames, true
}

// write writes frames with as few system calls as possible. If that fails, it closes
// the connection and returns false.
func (c *conn) write(frames []outFrame) bool {
	buffers := make(net.Buffers, len(frames))
	for i, f := range frames {
		buffers[i] = f.data
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	size, err := buffers.WriteTo(c.raw)
	c.transport.inbound.answered(answerBytes(frames))
	for _, f := range frames {
		written := min(size, int64(len(f.data)))
		size -= written
		c.transport.count(c.remote, directionOut, f.kind, int(written))
		if written == 0 {
			c.markNotSent(f.call)
		}
	}
	if err != nil {
		c.close()
		return false
	}
	return true
}

// markNotSent records that no part of a call was written.
func (c *conn) markNotSent(call *pendingCall) {
	if call == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	call.sent = false
}

// lost returns the error of a call whose connection was lost.
func (c *conn) lost(call *pendingCall) error {
	if c.wasSent(call) {
		return fault.New("call", KindUnknown, "connection to %s was lost", c.remote.Name)
	}
	return fault.New("call", KindNotSent, "connection to %s was lost before the call was sent", c.remote.Name)
}
