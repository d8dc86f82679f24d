package standin_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"cicadabarrow.example/cicadabarrow/internal/platform/wire"
)

func TestServerRefusesBadInput(t *testing.T) {
	s := newSession(t, true)
	for _, c := range []struct {
		method, path, body string
		status             int
		message            string
	}{
		{"POST", "/table/commit", `{"ID":`, 400, "malformed JSON"},
		{"POST", "/table/commit", `{"ID":"a","Cheks":[]}`, 400, "Cheks"},
		{"POST", "/table/commit", `{"ID":"a"} {}`, 400, "more data"},
		{"POST", "/table/commit", `{"Writes":[{"Key":"a"}]}`, 400, "no ID"},
		{"POST", "/table/commit", `{"ID":"a","Writes":[{"Key":"k"},{"Key":"k"}]}`, 400, "repeated key"},
		{"POST", "/table/commit", strings.Repeat(" ", wire.MaxRequestBytes+1), 413, "more than"},
		{"GET", "/table/rows?after=-1", "", 400, "after in the query"},
		{"GET", "/table/rows?limit=x", "", 400, "limit in the query"},
		{"POST", "/workers/worker-000/start", `{"Starts":[{"RunTime":"5"}]}`, 400, "Starts[0].RunTime"},
		{"POST", "/workers/worker-000/start", `{"Starts":[{"Until":"noon"}]}`, 400, "Starts[0].Until"},
		{"POST", "/workers/worker-000/report", `{"Renewals":[{"Until":"x"}]}`, 400, "Renewals[0].Until"},
		{"POST", "/workers/nobody/stop", `{}`, 503, "nobody"},
		{"POST", "/upstreams/upstream-000/run/x", "", 400, "no ID"},
		{"POST", "/faults", `{"Target":"Table","Slow":"-1s"}`, 400, "Slow"},
		{"POST", "/faults", `{"Target":"Links","Loss":"All"}`, 400, "need From"},
		{"POST", "/faults", `{"Target":"upstream-000","Cut":"Later"}`, 400, "Cut"},
		{"GET", "/nothing", "", 404, "/nothing"},
		{"GET", "/audit", "", 200, `"RequestRuns":0`},
	} {
		request, err := http.NewRequestWithContext(t.Context(), c.method, s.base.String()+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatalf("%s %s: %v", c.method, c.path, err)
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode != c.status || !strings.Contains(string(body), c.message) {
			t.Errorf("%s %s: status %d, body %s; want %d and %q", c.method, c.path, response.StatusCode, body, c.status, c.message)
		}
	}
	http.DefaultClient.CloseIdleConnections()
	if n := s.deployment.Table.Counts().RowsWritten; n != 0 {
		t.Errorf("bad input wrote %d rows", n)
	}
}

func FuzzSetFault(f *testing.F) {
	f.Add([]byte(`{"Target":"Table","Down":true,"Slow":"1s"}`))
	f.Add([]byte(`{"Target":"Links","From":"a","To":"b","Loss":"Answers"}`))
	f.Add([]byte(`{"Target":"worker-000","Frozen":true,"Restart":true}`))
	f.Add([]byte(`{"Target":"upstream-000","Cut":"Midway","Stalled":true}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		fault, err := wire.Decode[wire.Fault]("fault", data)
		if err != nil {
			return
		}
		if err := newSession(t, false).deployment.SetFault(fault); err != nil && !strings.Contains(err.Error(), "fault: invalid") {
			t.Errorf("error %v, want an error of KindInvalid", err)
		}
	})
}
