package entry_test

import (
	"io"
	"net"
	"sync"
	"time"
)

// pipe is one end of a connection in memory. Unlike net.Pipe it has a buffer, as a
// socket has.
type pipe struct {
	in, out chan []byte
	rest    []byte
	shut    *sync.Once
	done    chan struct{}
}

const pipeBuffer = 1024

func newPipe() (near, far *pipe) {
	a, b, done, shut := make(chan []byte, pipeBuffer), make(chan []byte, pipeBuffer), make(chan struct{}), &sync.Once{}
	return &pipe{in: a, out: b, done: done, shut: shut}, &pipe{in: b, out: a, done: done, shut: shut}
}

func (p *pipe) Read(b []byte) (int, error) {
	if len(p.rest) == 0 {
		select {
		case p.rest = <-p.in:
		case <-p.done:
			return 0, io.EOF
		}
	}
	n := copy(b, p.rest)
	p.rest = p.rest[n:]
	return n, nil
}

func (p *pipe) Write(b []byte) (int, error) {
	select {
	case <-p.done:
		return 0, net.ErrClosed
	default:
	}
	select {
	case p.out <- append([]byte(nil), b...):
		return len(b), nil
	case <-p.done:
		return 0, net.ErrClosed
	}
}

func (p *pipe) Close() error {
	p.shut.Do(func() { close(p.done) })
	return nil
}

func (p *pipe) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (p *pipe) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (p *pipe) SetDeadline(time.Time) error      { return nil }
func (p *pipe) SetReadDeadline(time.Time) error  { return nil }
func (p *pipe) SetWriteDeadline(time.Time) error { return nil }
