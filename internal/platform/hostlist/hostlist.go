// Package hostlist is the adapter to the platform's host list.
package hostlist

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"sync"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/platform/call"
	"cicadabarrow.example/cicadabarrow/internal/platform/wire"
)

// Client reads the host list over HTTP. If the platform sends an ETag with the
// list, the client caches the list and fetches it again only when it has changed.
type Client struct {
	caller *call.Caller

	mu     sync.Mutex
	etag   string
	cached []platform.Host
}

// New returns a client of the host list at a base URL, for the entry host named
// from.
func New(base *url.URL, client *http.Client, from string) *Client {
	return &Client{caller: call.New(base, client, from)}
}

// Hosts returns the hosts in the list, including the leaving ones. The list lags
// behind the actual state of the hosts.
func (c *Client) Hosts(ctx context.Context) ([]platform.Host, error) {
	c.mu.Lock()
	etag, cached := c.etag, c.cached
	c.mu.Unlock()
	request := call.Request{Op: "hosts", Method: http.MethodGet, Path: "/hosts"}
	if etag != "" {
		request.Header = http.Header{"If-None-Match": {etag}}
	}
	resp, err := c.caller.Do(ctx, request)
	switch {
	case err != nil:
		return nil, err
	case resp.Status == http.StatusNotModified && etag != "":
		return slices.Clone(cached), nil
	case resp.Status != http.StatusOK:
		return nil, fault.New("hosts", platform.KindUnknown, "status %d", resp.Status)
	}
	list, err := wire.Decode[wire.Hosts]("hosts", resp.Body)
	if err != nil {
		return nil, fault.New("hosts", platform.KindUnknown, "%w", err)
	}
	hosts, err := list.Domain("hosts")
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag, c.cached = resp.Header.Get("Etag"), slices.Clone(hosts)
	return hosts, nil
}
