// Package table is the adapter to the platform's table service.
package table

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/platform/call"
	"cicadabarrow.example/cicadabarrow/internal/platform/wire"
)

// Client calls the table service over HTTP.
type Client struct{ caller *call.Caller }

// New returns a client of the table service at a base URL, for the entry host
// named from.
func New(base *url.URL, client *http.Client, from string) *Client {
	return &Client{caller: call.New(base, client, from)}
}

// Get returns the row with a key. If there is none, the error is of
// platform.KindMissing.
func (c *Client) Get(ctx context.Context, key string) (platform.Row, error) {
	rows, err := c.rows(ctx, "get", url.Values{"key": {key}})
	if err != nil {
		return platform.Row{}, err
	}
	if len(rows) != 1 || rows[0].Key != key {
		return platform.Row{}, fault.New("get", platform.KindInvalid,
			"%d rows were returned for the key %q, want exactly that row", len(rows), key)
	}
	return rows[0], nil
}

// List returns the rows whose keys have a prefix and that were written after a
// version, in the order of their versions. A limit above 0 bounds their number,
// but never separates the rows of one commit.
func (c *Client) List(ctx context.Context, prefix string, after uint64, limit int) ([]platform.Row, error) {
	return c.rows(ctx, "list", url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(after, 10)},
		"limit":  {strconv.Itoa(limit)},
	})
}

func (c *Client) rows(ctx context.Context, op string, query url.Values) ([]platform.Row, error) {
	rows, err := call.JSON[wire.Rows](ctx, c.caller, call.Request{
		Op: op, Method: http.MethodGet, Path: "/table/rows", Query: query,
	}, nil)
	if err != nil {
		return nil, err
	}
	return rows.Domain(), nil
}

// Commit applies a transaction and returns its version. If a check fails, the
// error is of platform.KindConflict and names the key. After an error of
// platform.KindUnknown the commit may or may not have taken effect.
func (c *Client) Commit(ctx context.Context, commit platform.Commit) (uint64, error) {
	committed, err := call.JSON[wire.Committed](ctx, c.caller, call.Request{
		Op: "commit", Method: http.MethodPost, Path: "/table/commit",
	}, wire.FromCommit(commit))
	return committed.Version, err
}
