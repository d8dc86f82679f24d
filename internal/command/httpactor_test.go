package command

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
)

// A server that shuts down gracefully must not end its group, which would break off the
// requests that it still finishes.
func TestServerThatShutsDownDoesNotEndItsGroup(t *testing.T) {
	serving := make(chan struct{})
	server := &http.Server{Handler: http.NotFoundHandler(), BaseContext: func(net.Listener) context.Context {
		close(serving)
		return t.Context()
	}}
	execute, interrupt := httpActor(server, func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") })
	var interrupted atomic.Bool
	early := make(chan bool, 1)
	go func() {
		err := execute()
		early <- !interrupted.Load() || err != nil
	}()
	<-serving
	if err := server.Shutdown(t.Context()); err != nil {
		t.Fatal(err)
	}
	for range 10_000 {
		runtime.Gosched()
	}
	interrupted.Store(true)
	interrupt(nil)
	if <-early {
		t.Error("the actor has ended before it was interrupted")
	}
}
