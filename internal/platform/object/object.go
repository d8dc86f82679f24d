// Package object is the adapter to the platform's object store.
package object

import (
	"context"
	"net/http"
	"net/url"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/platform/call"
)

// Client calls the object store over HTTP.
type Client struct{ caller *call.Caller }

// New returns a client of the object store at a base URL, for the entry host
// named from.
func New(base *url.URL, client *http.Client, from string) *Client {
	return &Client{caller: call.New(base, client, from)}
}

// Put stores an object under a name and replaces an existing one.
func (c *Client) Put(ctx context.Context, name string, content []byte) error {
	_, err := c.do(ctx, "put", http.MethodPut, name, content)
	return err
}

// Get returns the object with a name. If there is none, the error is of
// platform.KindMissing.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	return c.do(ctx, "get", http.MethodGet, name, nil)
}

// Delete deletes an object. Deleting one that does not exist is not an error.
func (c *Client) Delete(ctx context.Context, name string) error {
	_, err := c.do(ctx, "delete", http.MethodDelete, name, nil)
	return err
}

func (c *Client) do(ctx context.Context, op, method, name string, body []byte) ([]byte, error) {
	if name == "" {
		return nil, fault.New(op, platform.KindInvalid, "the object has no name")
	}
	resp, err := c.caller.Do(ctx, call.Request{
		Op: op, Method: method, Path: "/objects/" + url.PathEscape(name), Body: body,
	})
	if err != nil {
		return nil, err
	}
	if resp.Status != http.StatusOK {
		return nil, fault.New(op, platform.KindUnknown, "status %d", resp.Status)
	}
	return resp.Body, nil
}
