package peer

import (
	"context"
	"net"
	"net/netip"
	"time"
)

const (
	// redialInterval is how long a connection may take to open before another attempt
	// begins beside it. A machine that has no power drops the first packet of a
	// connection, and the system repeats it only after 1 s, while the machine may have
	// started in the meantime.
	redialInterval = 250 * time.Millisecond
	// maxDials is the number of attempts that fit into helloTimeout.
	maxDials = int(helloTimeout / redialInterval)
)

type dialResult struct {
	conn net.Conn
	err  error
}

// open opens a connection with several attempts. It returns the first connection, or the
// error of an attempt if that fails before another one is due.
func (t *Transport) open(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan dialResult, maxDials)
	open := 0
	defer func() {
		cancel()
		if open > 0 {
			t.background.Go(func() { closeLate(results, open) })
		}
	}()
	begin := func() {
		open++
		t.background.Go(func() {
			conn, err := t.dialer.DialContext(ctx, "tcp", to.String())
			results <- dialResult{conn, err}
		})
	}
	begin()
	ticker := time.NewTicker(redialInterval)
	defer ticker.Stop()
	for dials := 1; ; {
		select {
		case r := <-results:
			open--
			return r.conn, r.err
		case <-ticker.C:
			if dials < maxDials {
				dials++
				begin()
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// closeLate closes the connections of the attempts that are still open.
func closeLate(results <-chan dialResult, open int) {
	for range open {
		if r := <-results; r.err == nil {
			_ = r.conn.Close()
		}
	}
}
