package hostlist_test

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"cicadabarrow.example/cicadabarrow/internal/platform/hostlist"
)

// TestHostsAsksForChangesOnly checks that an unchanged list is not transferred
// again: the server counts the bodies that it sends.
func TestHostsAsksForChangesOnly(t *testing.T) {
	const first, second = `{"Hosts":[{"Name":"a","Role":"Entry"}]}`, `{"Hosts":[]}`
	etag, body, sent := `"1"`, first, 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if etag != "" && r.Header.Get("If-None-Match") == etag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		sent++
		if etag != "" {
			w.Header().Set("ETag", etag)
		}
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	base, err := url.Parse(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	c := hostlist.New(base, server.Client(), "entry-00")
	check := func(hosts, wantSent int) {
		t.Helper()
		got, err := c.Hosts(t.Context())
		if err != nil || len(got) != hosts || sent != wantSent {
			t.Errorf("%d hosts, %v; %d bodies sent, want %d", len(got), err, sent, wantSent)
		}
		clear(got) // The client's cached copy must not change.
	}
	check(1, 1)
	check(1, 1)
	etag, body = `"2"`, second
	check(0, 2)
	check(0, 2)
	// Without an ETag the client fetches the whole list each time.
	etag, body = "", first
	check(1, 3)
	check(1, 4)
}
