package httplimit

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

const (
	// bytesWait is how long a request waits for bytes of a body or of its decoded form. It
	// leaves most of the time of a call, 3 s in the deployments, for the request itself.
	bytesWait = 1 * time.Second
	// chunkedStart is what is reserved at first for a body of unknown size. If it is
	// larger, the largest size is reserved, so that bodies that are being read do not wait
	// for each other.
	chunkedStart = 16 << 10
	// progressBytes is what a body has to grow by to count as making progress.
	progressBytes = 4 << 10
)

// Request accounts for the memory of one request.
type Request struct {
	guard *Guard
	http  *http.Request
	// conn is nil for a request that did not come through the guard.
	conn *Conn
	// bodies has the reservations of the body.
	bodies  []int64
	decoded int64
	// read is set once the body has been read completely.
	read bool
}

// Begin returns the accounts of a request. End has to be called when it is done.
func (g *Guard) Begin(r *http.Request) *Request {
	conn, _ := r.Context().Value(connKey{}).(*Conn)
	return &Request{guard: g, http: r, conn: conn, read: r.ContentLength == 0}
}

// End releases what the request has reserved.
func (q *Request) End() {
	var bodies int64
	for _, bytes := range q.bodies {
		q.guard.bodies.Release(bytes)
		bodies += bytes
	}
	if q.conn != nil {
		q.guard.hold(q.conn, -bodies)
	}
	if q.decoded > 0 {
		q.guard.decoded.Release(q.decoded)
	}
	q.bodies, q.decoded = nil, 0
}

// Abandon drops the rest of a body that has not been read, before the response is
// written: net/http would wait for up to 256 KB of it. Unless all of it has arrived with
// the header, net/http then closes the connection.
func (q *Request) Abandon() {
	if q.read || q.conn == nil {
		return
	}
	q.read = true
	q.guard.mu.Lock()
	q.conn.abandoned = true
	q.guard.mu.Unlock()
	_ = q.conn.setReadDeadline(past)
}

// ReadBody reads the body of the request, of up to limit bytes, before the context ends.
// It reserves the bytes first.
func (q *Request) ReadBody(ctx context.Context, limit int64) ([]byte, error) {
	length := q.http.ContentLength
	switch {
	case length == 0:
		return nil, nil
	case length > limit:
		return nil, q.refuse(reasonBodyTooLarge, KindTooLarge, "%d bytes; at most %d are allowed", length, limit)
	}
	q.beginBody()
	body, err := q.readAll(ctx, length, limit)
	if err == nil {
		err = q.finishBody()
	}
	if err != nil {
		return nil, err
	}
	q.read = true
	return body, nil
}

func (q *Request) beginBody() {
	if q.conn == nil {
		return
	}
	g := q.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	q.conn.wireBytes, q.conn.reads = 0, 0
	g.setPhase(q.conn, phaseBody)
	g.table.Progress(q.conn.entry, g.timers.Now())
}

// finishBody ends the reading of a body that is complete. From then on the connection is
// not closed. It fails if the request was refused, or its connection closed, meanwhile.
func (q *Request) finishBody() error {
	if q.conn == nil {
		return nil
	}
	g := q.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case q.conn.phase == phaseClosed:
		return fault.New("read body", KindBroken, "the connection was closed to make room")
	case q.conn.entry.Stalled():
		return errStalled
	}
	g.setPhase(q.conn, phaseServing)
	return nil
}

var errStalled = fault.New("read body", KindNoCapacity, "no progress while bytes were short")

func (q *Request) readAll(ctx context.Context, length, limit int64) ([]byte, error) {
	size := length
	if length < 0 {
		size = min(chunkedStart, limit+1)
	}
	body, err := q.allocate(ctx, size)
	if err != nil {
		return nil, err
	}
	r := bodyReader{request: q, ctx: ctx}
	n, err := r.fill(body)
	if length < 0 && err == nil && size <= limit {
		// The body is larger than most.
		var larger []byte
		if larger, err = q.allocate(ctx, limit+1); err != nil {
			return nil, err
		}
		copy(larger, body)
		body = larger
		var rest int
		rest, err = r.fill(body[n:])
		n += rest
	}
	switch {
	case err == nil && length < 0:
		return nil, q.refuse(reasonBodyTooLarge, KindTooLarge, "more than %d bytes", limit)
	case err == nil || errors.Is(err, io.EOF) && (length < 0 || int64(n) == length):
		return body[:n], nil
	}
	return nil, r.failure(err)
}

// allocate reserves bytes for a part of the body and allocates it.
func (q *Request) allocate(ctx context.Context, bytes int64) ([]byte, error) {
	g := q.guard
	if err := g.bodies.Acquire(ctx, bytes, bytesWait, g.reclaim); err != nil {
		return nil, q.refuse(reasonBodyBytes, KindNoCapacity, "%w", err)
	}
	q.bodies = append(q.bodies, bytes)
	if q.conn != nil {
		g.hold(q.conn, bytes)
	}
	return make([]byte, bytes), nil
}

// Decode reserves the memory of the decoded form of a body, and of what is made of it
// while the request is processed.
func (q *Request) Decode(ctx context.Context, bytes int64) error {
	if err := q.guard.decoded.Acquire(ctx, bytes, bytesWait, func(int64) {}); err != nil {
		return q.refuse(reasonDecodedBytes, KindNoCapacity, "%w", err)
	}
	q.decoded += bytes
	return nil
}

func (q *Request) refuse(why reason, kind Kind, format string, args ...any) error {
	q.note(why)
	return fault.New("read body", kind, format, args...)
}

func (q *Request) note(why reason) {
	if q.conn != nil {
		q.conn.note(why)
	}
}
