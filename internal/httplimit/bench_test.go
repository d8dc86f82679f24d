package httplimit

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// BenchmarkRequest compares a request with a body through a guard with one without it, on
// connections that are kept and on new ones.
func BenchmarkRequest(b *testing.B) {
	body := make([]byte, 1000)
	guard := New(Config{Limits: ordinaryLimits(), Rules: func() Rules { return Rules{} }}, timer.NewSystem(), tally.NoopScope, zap.NewNop())
	plain := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		read, _ := io.ReadAll(http.MaxBytesReader(w, r.Body, testBodyLimit))
		_, _ = fmt.Fprint(w, len(read))
	})}
	guarded := guard.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := guard.Begin(r)
		defer request.End()
		read, _ := request.ReadBody(r.Context(), testBodyLimit)
		_ = request.Decode(r.Context(), int64(len(read)))
		request.Abandon()
		_, _ = fmt.Fprint(w, len(read))
	}))
	for _, c := range []struct {
		name   string
		server *http.Server
		listen func() (net.Listener, error)
	}{
		{"plain", plain, func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }},
		{"guarded", guarded, func() (net.Listener, error) { return guard.Listen(netip.MustParseAddrPort("127.0.0.1:0")) }},
	} {
		listen, err := c.listen()
		if err != nil {
			b.Fatal(err)
		}
		go func() { _ = c.server.Serve(listen) }()
		b.Cleanup(func() { _ = c.server.Close() })
		for _, kept := range []bool{true, false} {
			b.Run(fmt.Sprintf("%s/kept=%v", c.name, kept), func(b *testing.B) {
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: !kept}}
				b.ReportAllocs()
				for b.Loop() {
					response, err := client.Post("http://"+listen.Addr().String(), "", bytes.NewReader(body))
					if err != nil {
						b.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			})
		}
	}
}
