package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/burn"
	"cicadabarrow.example/cicadabarrow/internal/gateway"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/plan"
)

// fakeRequests responds to every request with one answer and keeps the last
// request.
type fakeRequests struct {
	answer message.Answer
	last   *message.Request
	// panics is set when Do panics after it has got the request.
	panics bool
}

func (r *fakeRequests) Do(_ context.Context, m message.Request) message.Answer {
	r.last = &m
	if r.panics {
		panic("scripted")
	}
	return r.answer
}

func (r *fakeRequests) NewKey() (string, error) {
	return "kita-hakata:018f3c1e-7b2a-7c3d-8e4f-0123456789ab", nil
}

type plans struct {
	gateway.Plans
	replica *plan.Replica
}

func (p plans) Book() *plan.Replica { return p.replica }

type burns struct{}

func (burns) Burn(context.Context) burn.Report { return burn.Report{Reached: []string{"entry-00"}} }

const maxBody = 1 << 10

func serve(t *testing.T) (*fakeRequests, string) {
	t.Helper()
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	book := plan.NewReplica()
	book.Adopt(plan.Section{Team: "payments", Revision: 1, Services: []plan.Service{{
		Name: "escrow-desk", MaxDeadline: 5 * time.Second,
	}, {
		Name: "proofs", MaxDeadline: 5 * time.Second, Priority: job.PriorityUrgent,
	}}})
	r := &fakeRequests{answer: message.Answer{Outcome: message.OutcomeAnswered, Status: http.StatusTeapot, Body: []byte("paid")}}
	g := gateway.New(gateway.Services{Requests: r, Plans: plans{replica: book}, BurnReporter: burns{}}, nil, gateway.Limits{
		MaxBody: maxBody, MaxDeadline: 10 * time.Second, DefaultDeadline: 2 * time.Second,
	}, listen, nil, zap.NewNop())
	t.Cleanup(g.Close)
	return r, "http://" + listen.Addr().String()
}

func send(t *testing.T, method, url string, header map[string]string, body string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(text)
}

// TestInvalidRequestsAreNotForwarded sends requests that cannot be served: each is
// refused with the outcome not-run and is not forwarded.
func TestInvalidRequestsAreNotForwarded(t *testing.T) {
	r, base := serve(t)
	for name, c := range map[string]struct {
		header map[string]string
		body   string
		status int
	}{
		"deadline is no duration": {map[string]string{api.HeaderDeadline: "soon"}, "", http.StatusBadRequest},
		"deadline too short":      {map[string]string{api.HeaderDeadline: "1ms"}, "", http.StatusBadRequest},
		"deadline over the plan":  {map[string]string{api.HeaderDeadline: "6s"}, "", http.StatusBadRequest},
		"idempotent is no bool":   {map[string]string{api.HeaderIdempotent: "maybe"}, "", http.StatusBadRequest},
		"unknown priority":        {map[string]string{api.HeaderPriority: "High"}, "", http.StatusBadRequest},
		"malformed key":           {map[string]string{api.HeaderIdempotencyKey: "check-1"}, "", http.StatusBadRequest},
		"key of version 4":        {map[string]string{api.HeaderIdempotencyKey: "018f3c1e-7b2a-4c3d-8e4f-0123456789ab"}, "", http.StatusBadRequest},
		"body too large":          {nil, strings.Repeat("x", maxBody+1), http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			resp, text := send(t, http.MethodPost, base+"/v1/services/escrow-desk/check", c.header, c.body)
			if resp.StatusCode != c.status || resp.Header.Get(api.HeaderOutcome) != string(message.OutcomeNotRun) {
				t.Errorf("status %d, outcome %q: %s", resp.StatusCode, resp.Header.Get(api.HeaderOutcome), text)
			}
			if r.last != nil {
				t.Error("the request was forwarded")
			}
		})
	}
}

// TestBodyOfUnknownLengthIsBounded sends a body that is too large, without a
// Content-Length.
func TestBodyOfUnknownLengthIsBounded(t *testing.T) {
	r, base := serve(t)
	body := io.MultiReader(strings.NewReader(strings.Repeat("x", maxBody)), strings.NewReader("x"))
	resp, err := http.Post(base+"/v1/services/escrow-desk/check", "", body)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusRequestEntityTooLarge || r.last != nil {
		t.Errorf("status %d; the forwarded request is %v", resp.StatusCode, r.last)
	}
}

// TestPlanSetsDefaultPriority sends requests to a service whose policy in the plan is
// urgent: the header overrides the plan, and the plan decides without a header.
func TestPlanSetsDefaultPriority(t *testing.T) {
	r, base := serve(t)
	for header, urgent := range map[string]bool{"": true, "Normal": false, "Urgent": true} {
		send(t, http.MethodGet, base+"/v1/services/proofs/render", map[string]string{api.HeaderPriority: header}, "")
		if r.last == nil || r.last.Urgent != urgent {
			t.Errorf("header %q: %+v", header, r.last)
		}
	}
}

func TestOutcomesByStatusAndHeader(t *testing.T) {
	for _, c := range []struct {
		answer message.Answer
		status int
		body   string
		after  string
	}{
		{message.Answer{Outcome: message.OutcomeAnswered, Status: 418, Body: []byte("paid")}, 418, "paid", ""},
		{message.Answer{Outcome: message.OutcomeAnswered, Status: 200}, 200, "", ""},
		{message.Answer{Outcome: message.OutcomeNotRun, Reason: "queue full", RetryAfter: 1200 * time.Millisecond}, 503, "queue full", "2"},
		{message.Answer{Outcome: message.OutcomeUnknown, Reason: "no answer"}, 502, "no answer", ""},
	} {
		r, base := serve(t)
		r.answer = c.answer
		resp, text := send(t, http.MethodPost, base+"/v1/services/escrow-desk/a/b?from=hakata", map[string]string{
			api.HeaderDeadline: "3s", api.HeaderPriority: "Urgent", api.HeaderIdempotent: "true",
			api.HeaderIdempotencyKey: "kita-hakata:018f3c1e-7b2a-7c3d-8e4f-0123456789ab",
		}, "deposit")
		if resp.StatusCode != c.status || resp.Header.Get(api.HeaderOutcome) != string(c.answer.Outcome) ||
			!strings.Contains(text, c.body) || resp.Header.Get("Retry-After") != c.after {
			t.Errorf("%s: status %d, header %v: %s", c.answer.Outcome, resp.StatusCode, resp.Header, text)
		}
		want := message.Request{
			ID: r.last.ID, Service: "escrow-desk", Team: "payments", Caller: "anyone", Idempotent: true, Urgent: true,
			Key: "kita-hakata:018f3c1e-7b2a-7c3d-8e4f-0123456789ab", Timeout: 3 * time.Second,
			Method: http.MethodPost, Path: "/a/b?from=hakata", Body: []byte("deposit"),
		}
		if got := *r.last; got.ID == "" || got.Path != want.Path || got.Team != want.Team || got.Caller != want.Caller ||
			got.Key != want.Key || got.Timeout != want.Timeout || !got.Urgent || !got.Idempotent || string(got.Body) != "deposit" {
			t.Errorf("the forwarded request is %+v", got)
		}
	}
}

// A request that was forwarded before its handler panicked may have run.
func TestPanicAfterForwardingIsUnknown(t *testing.T) {
	r, base := serve(t)
	r.panics = true
	resp, _ := send(t, http.MethodPost, base+"/v1/services/escrow-desk/check", nil, "deposit")
	if got := resp.Header.Get(api.HeaderOutcome); got != string(message.OutcomeUnknown) || r.last == nil {
		t.Errorf("status %d, outcome %q; want %q", resp.StatusCode, got, message.OutcomeUnknown)
	}
	r.panics = false
	resp, _ = send(t, http.MethodPost, base+"/v1/services/escrow-desk/check", nil, "deposit")
	if resp.StatusCode != http.StatusTeapot {
		t.Errorf("the next request got status %d", resp.StatusCode)
	}
}

func TestBurnReportFormats(t *testing.T) {
	_, base := serve(t)
	for format, want := range map[string]string{
		"": "text/plain", "text": "text/plain", "json": "application/json", "html": "text/html",
	} {
		resp, text := send(t, http.MethodGet, base+"/v1/report/burn?Format="+format, nil, "")
		if resp.StatusCode != http.StatusOK || !strings.HasPrefix(resp.Header.Get("Content-Type"), want) || text == "" {
			t.Errorf("format %q: %d %s", format, resp.StatusCode, resp.Header.Get("Content-Type"))
		}
	}
	if resp, _ := send(t, http.MethodGet, base+"/v1/report/burn?Format=pdf", nil, ""); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("format pdf: %d", resp.StatusCode)
	}
}
