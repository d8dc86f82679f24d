package demo

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"

	"cicadabarrow.example/cicadabarrow/internal/standin"
)

var errCut = errors.New("the link is cut")

// Network connects the entry hosts to each other and to the stand-ins. It
// simulates cut links and frozen or killed hosts, and counts the bytes between
// entry hosts and platform.
type Network struct {
	mu          sync.Mutex
	dataCentres map[string]string
	cut         map[[2]string]bool
	frozen      map[string]chan struct{}
	killed      map[string]bool

	// Traffic counts the bytes between entry hosts, peers and platform.
	Traffic *Traffic
}

// NewNetwork returns a network without faults.
func NewNetwork() *Network {
	return &Network{
		dataCentres: make(map[string]string),
		cut:         make(map[[2]string]bool),
		frozen:      make(map[string]chan struct{}),
		killed:      make(map[string]bool),

		Traffic: NewTraffic(),
	}
}

// SetDataCentre records the data centre of the entry host that listens at an
// address.
func (n *Network) SetDataCentre(address, dataCentre string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dataCentres[address] = dataCentre
}

// SetCut cuts or heals both directions between two data centres, or between one
// and standin.Platform.
func (n *Network) SetCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}] = cut
	n.cut[[2]string{b, a}] = cut
}

// Freeze suspends everything that an entry host sends or receives until Thaw.
func (n *Network) Freeze(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[host] == nil {
		n.frozen[host] = make(chan struct{})
	}
}

// Thaw resumes a frozen entry host.
func (n *Network) Thaw(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.frozen[host]; c != nil {
		close(c)
		delete(n.frozen, host)
	}
}

// SetKilled records whether an entry host is killed. Whatever a killed host still
// had to send is lost, also when it was frozen.
func (n *Network) SetKilled(host string, killed bool) {
	n.mu.Lock()
	n.killed[host] = killed
	n.mu.Unlock()
	n.Thaw(host)
}

// waitThawed blocks while a host is frozen. It fails if the host is killed.
func (n *Network) waitThawed(ctx context.Context, host string) error {
	for {
		n.mu.Lock()
		c, killed := n.frozen[host], n.killed[host]
		n.mu.Unlock()
		if killed {
			return errCut
		}
		if c == nil {
			return nil
		}
		select {
		case <-c:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (n *Network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{a, b}]
}

func (n *Network) dataCentreOf(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dataCentres[address]
}

// dialer opens the connections of one entry host to its peers.
type dialer struct {
	net        *Network
	host       string
	dataCentre string
}

// DialContext connects to a peer unless the link is cut.
func (d *dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	to := d.net.dataCentreOf(address)
	if err := d.net.waitThawed(ctx, d.host); err != nil {
		return nil, err
	}
	if d.net.isCut(d.dataCentre, to) {
		return nil, errCut
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, net: d.net, host: d.host, from: d.dataCentre, to: to}, nil
}

// conn is a connection that faults of the network can cut or suspend.
type conn struct {
	net.Conn
	net      *Network
	host     string
	from, to string
}

// Read reads unless the link is cut.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if werr := c.checkLink(); werr != nil {
		return 0, werr
	}
	return n, err
}

// Write writes unless the link is cut.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.checkLink(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *conn) checkLink() error {
	if err := c.net.waitThawed(context.Background(), c.host); err != nil {
		return err
	}
	if c.net.isCut(c.from, c.to) {
		_ = c.Close()
		return errCut
	}
	return nil
}

// transport sends the requests of one entry host to the platform.
type transport struct {
	net        *Network
	host       string
	dataCentre string
	// remoteStore is set if the store is in another region than the entry host.
	remoteStore bool
	next        http.RoundTripper
}

// RoundTrip sends a request to the platform. It holds the request and the response
// while the host is frozen, and loses the response if the host is killed meanwhile.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := t.net.waitThawed(r.Context(), t.host); err != nil {
		return nil, err
	}
	if t.net.isCut(t.dataCentre, standin.Platform) && isStoreOrHostList(r.URL.Path) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errCut}
	}
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	t.count(r, requestBytes(r)+responseBytes(resp))
	resp.Body = &countingBody{ReadCloser: resp.Body, count: func(n int) { t.count(r, uint64(n)) }}
	if err := t.net.waitThawed(r.Context(), t.host); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// count adds the bytes of a call of the platform to the traffic.
func (t *transport) count(r *http.Request, n uint64) {
	crossed := uint64(0)
	if t.remoteStore && isStoreOrHostList(r.URL.Path) {
		crossed = n
	}
	t.net.Traffic.Add(platformPurpose(r), n, crossed)
}

// countingBody counts the bytes of a response body as they are read.
type countingBody struct {
	io.ReadCloser
	count func(int)
}

// Read reads and counts.
func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.count(n)
	}
	return n, err
}
