package httplimit

import (
	"context"
	"errors"
	"os"
	"runtime"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// bodyReader reads a body at a bounded cost and before its deadline.
type bodyReader struct {
	request *Request
	ctx     context.Context
	// counted has the bytes that have counted as progress, and progressAt when they did.
	counted    int64
	progressAt time.Time
	total      int64
	// wire and reads are what the connection had read before.
	wire, reads int64
}

// fill reads until the buffer is full or the body ends.
func (r *bodyReader) fill(buffer []byte) (int, error) {
	total := 0
	for total < len(buffer) {
		r.setDeadline()
		n, err := r.request.http.Body.Read(buffer[total:])
		total += n
		if err != nil {
			return total, err
		}
		r.noteProgress(n)
		if err := r.pace(n); err != nil {
			return total, err
		}
		// Bodies that arrive at the same time are read in turn, and others that wait for
		// the processor are not kept waiting for all of them.
		runtime.Gosched()
	}
	return total, nil
}

// setDeadline sets the deadline of the next read: the end of the call, or before that the
// longest time without progress.
func (r *bodyReader) setDeadline() {
	c := r.request.conn
	if c == nil {
		return
	}
	if r.progressAt.IsZero() {
		r.progressAt = r.request.guard.timers.Now()
	}
	deadline := r.progressAt.Add(c.rules.IdleTimeout)
	if end, limited := r.ctx.Deadline(); limited && end.Before(deadline) {
		deadline = end
	}
	_ = c.setReadDeadline(deadline)
}

func (r *bodyReader) noteProgress(n int) {
	c := r.request.conn
	r.total += int64(n)
	if c == nil || r.total-r.counted < progressBytes {
		return
	}
	g := r.request.guard
	r.counted, r.progressAt = r.total, g.timers.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	c.bodyBytes = r.total
	g.table.Progress(c.entry, r.progressAt)
}

// pace waits if the framing of bodies takes too much of the processor. Meanwhile more
// arrives, so that the next read gets larger pieces.
func (r *bodyReader) pace(n int) error {
	c, g := r.request.conn, r.request.guard
	if c == nil {
		return nil
	}
	wire, reads := c.wireBytes, c.reads
	cost := max(wire-r.wire-int64(n), 0) + (reads-r.reads)*readBytes
	r.wire, r.reads = wire, reads
	now := g.timers.Now()
	turn := g.overhead.ReserveN(now, int(min(cost, overheadBurst)))
	delay := turn.DelayFrom(now)
	if delay <= 0 {
		return nil
	}
	if end, limited := r.ctx.Deadline(); limited && end.Before(now.Add(delay)) {
		turn.CancelAt(now)
		return r.request.refuse(reasonSmallPieces, KindNoCapacity, "bodies in small pieces take too much of the processor")
	}
	pause := g.timers.After(delay)
	defer pause.Stop()
	select {
	case <-pause.C:
		return nil
	case <-r.ctx.Done():
		return r.ctx.Err()
	}
}

// failure returns the error of a body that was not read completely.
func (r *bodyReader) failure(err error) error {
	q := r.request
	var known *Error
	switch {
	case errors.As(err, &known):
		return err
	case q.wasStalled():
		return errStalled
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return q.refuse(reasonBodyTooSlow, KindTooSlow, "not complete in time: %w", err)
	}
	return fault.New("read body", KindBroken, "%w", err)
}

func (q *Request) wasStalled() bool {
	if q.conn == nil {
		return false
	}
	q.guard.mu.Lock()
	defer q.guard.mu.Unlock()
	return q.conn.entry.Stalled()
}
