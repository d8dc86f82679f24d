// Package worker is the adapter to the platform's workers.
package worker

import (
	"context"
	"net/http"
	"net/url"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/platform/call"
	"cicadabarrow.example/cicadabarrow/internal/platform/wire"
)

// Client calls workers over HTTP.
type Client struct{ caller *call.Caller }

// New returns a client for the entry host named from. The base URL gives the
// scheme, the path prefix, and the address for hosts that are listed without one.
func New(base *url.URL, client *http.Client, from string) *Client {
	return &Client{caller: call.New(base, client, from)}
}

// Start starts attempts on a host. It returns one error for each start, which is
// nil if the worker accepted the start, or a single error for the whole call.
func (c *Client) Start(ctx context.Context, host platform.Host, starts []platform.Start) ([]error, error) {
	started, err := call.JSON[wire.Started](ctx, c.caller, request("start", host), wire.FromStarts(starts))
	if err != nil {
		return nil, err
	}
	if len(started.Errors) != len(starts) {
		return nil, fault.New("start", platform.KindUnknown,
			"%d outcomes for %d starts", len(started.Errors), len(starts))
	}
	return started.Domain("start"), nil
}

// Report renews leases on a host and returns the attempts that have changed.
func (c *Client) Report(ctx context.Context, host platform.Host, r platform.ReportRequest) (platform.Report, error) {
	report, err := call.JSON[wire.Report](ctx, c.caller, request("report", host), wire.FromReportRequest(r))
	if err != nil {
		return platform.Report{}, err
	}
	return report.Domain("report")
}

// Stop stops attempts on a host. The host ignores attempts that it does not run.
func (c *Client) Stop(ctx context.Context, host platform.Host, stops []platform.Stop) error {
	_, err := call.JSON[struct{}](ctx, c.caller, request("stop", host), wire.FromStops(stops))
	return err
}

func request(op string, host platform.Host) call.Request {
	return call.Request{
		Op: op, Method: http.MethodPost, Addr: host.Addr,
		Path: "/workers/" + url.PathEscape(host.Name) + "/" + op,
	}
}
