package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// A call whose frame was never written must be certain not to have run.
func TestCallQueuedBehindAnUnreadFrameIsNotSent(t *testing.T) {
	for name, lose := range map[string]bool{"its context ends": false, "the connection is lost": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				local, remote := net.Pipe()
				n := New(Host{Name: "client", Incarnation: "client-1"}, idleListener{closed: make(chan struct{})},
					newPipeDialer(local), handlerFunc(echo), tally.NoopScope, zap.NewNop())
				defer n.Close()
				go func() {
					_, _ = remote.Read(make([]byte, maxHello))
					_, _ = remote.Write(frameOf(t, validHello()))
				}()
				first, second := make(chan error, 1), make(chan error, 1)
				ask := func(result chan<- error, timeout time.Duration) {
					ctx, cancel := context.WithTimeout(t.Context(), timeout)
					defer cancel()
					_, _, err := n.Ask(ctx, unresponsiveAddr, Message{Kind: 1})
					result <- err
				}
				go ask(first, time.Second)
				synctest.Wait() // the first frame is being written, and nobody reads it
				go ask(second, time.Second/2)
				synctest.Wait()
				if lose {
					_ = remote.Close()
				}
				if err := <-second; !fault.Is(err, KindNotSent) {
					t.Errorf("the call that was only queued: %v", err)
				}
				_ = remote.Close()
				if err := <-first; err == nil {
					t.Error("the first call was answered")
				}
			})
		})
	}
}

// pipeDialer returns a connection once. No further one can be opened.
type pipeDialer struct{ conns chan net.Conn }

func newPipeDialer(conn net.Conn) pipeDialer {
	d := pipeDialer{conns: make(chan net.Conn, 1)}
	d.conns <- conn
	return d
}

func (d pipeDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	select {
	case conn := <-d.conns:
		return conn, nil
	default:
		return nil, errors.New("scripted")
	}
}

// BenchmarkCall measures calls that are made one after the other and at the same time.
func BenchmarkCall(b *testing.B) {
	for name, parallel := range map[string]int{"one": 1, "hundred": 100} {
		b.Run(name, func(b *testing.B) {
			listen, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := New(Host{Name: "s", Incarnation: "s-1"}, listen, &net.Dialer{}, handlerFunc(echo), tally.NoopScope, zap.NewNop())
			defer server.Close()
			own, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			client := New(Host{Name: "c", Incarnation: "c-1"}, own, &net.Dialer{}, handlerFunc(echo), tally.NoopScope, zap.NewNop())
			defer client.Close()
			addr := netip.MustParseAddrPort(listen.Addr().String())
			body := make([]byte, 200)
			b.ReportAllocs()
			var callers sync.WaitGroup
			for range parallel {
				callers.Go(func() {
					for range b.N / parallel {
						if _, err := client.Call(context.Background(), addr, Message{Kind: 1, Body: body}); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			callers.Wait()
		})
	}
}
