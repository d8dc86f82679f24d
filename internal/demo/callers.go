package demo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/standin"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const (
	callersPerDataCentre = 12
	// callInterval is the mean time between two requests of one caller.
	callInterval = 150 * time.Millisecond
	// callAttempts limits how often a caller sends a request with one key.
	callAttempts = 6
	callDeadline = 1500 * time.Millisecond
	retryDelay   = 150 * time.Millisecond
	callTimeout  = 3 * time.Second
)

// caller sends requests to the service of one data centre, as a guide's phone
// does through the platform's load balancer.
type caller struct {
	deployment *standin.Deployment
	balancer   Balancer
	dataCentre standin.DataCentre
	client     *http.Client
	random     *rand.Rand
	timers     timer.Service
}

// run sends requests until the context ends, and waits for the last one.
func (c *caller) run(ctx context.Context) {
	for sleep(ctx, c.timers, time.Duration(c.random.Int64N(int64(2*callInterval)))) {
		c.request()
	}
}

// request sends one request and retries it with the same key until the outcome is
// known.
func (c *caller) request() {
	key := uuid.Must(uuid.NewV7()).String()
	idempotent := c.random.IntN(2) == 0
	body := []byte("deposit " + key)
	audit := c.deployment.Audit
	audit.RequestSent(key)
	outcome := standin.OutcomeNotRun
	for range callAttempts {
		switch c.attempt(key, idempotent, body) {
		case standin.OutcomeAnswered:
			audit.OutcomeReturned(key, standin.OutcomeAnswered)
			return
		case standin.OutcomeUnknown:
			// The request may have run, whatever the outcome of a retry.
			outcome = standin.OutcomeUnknown
		case standin.OutcomeNotRun:
		}
		sleep(context.Background(), c.timers, retryDelay)
	}
	audit.OutcomeReturned(key, outcome)
}

// attempt sends the request once, to a random entry host of the data centre, or
// to one of any data centre when none is up there.
func (c *caller) attempt(key string, idempotent bool, body []byte) standin.Outcome {
	target, ok := c.pickHost()
	if !ok {
		return standin.OutcomeNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	url := fmt.Sprintf("%s/v1/services/%s/check", target.URL, c.deployment.Service)
	// The body is wrapped in a plain reader, which net/http cannot rewind, so
	// that it does not retry the request by itself.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return standin.OutcomeNotRun
	}
	req.ContentLength = int64(len(body))
	req.Header.Set(api.HeaderIdempotencyKey, c.dataCentre.Name+":"+key)
	req.Header.Set(api.HeaderDeadline, callDeadline.String())
	req.Header.Set(api.HeaderIdempotent, fmt.Sprint(idempotent))
	resp, err := c.client.Do(req)
	if err != nil {
		return dialOutcome(err)
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return standin.OutcomeUnknown
	}
	switch message.Outcome(resp.Header.Get(api.HeaderOutcome)) {
	case message.OutcomeAnswered:
		if standin.IsCompleteResponse(key, body, content) {
			return standin.OutcomeAnswered
		}
	case message.OutcomeNotRun:
		return standin.OutcomeNotRun
	case message.OutcomeUnknown:
	}
	return standin.OutcomeUnknown
}

// dialOutcome returns OutcomeNotRun if the connection could not be opened, and
// OutcomeUnknown if the request may have been sent.
func dialOutcome(err error) standin.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return standin.OutcomeNotRun
	}
	return standin.OutcomeUnknown
}

func (c *caller) pickHost() (Member, bool) {
	hosts := c.balancer.Up(c.dataCentre.Name)
	if len(hosts) == 0 {
		hosts = c.balancer.Up("")
	}
	if len(hosts) == 0 {
		return Member{}, false
	}
	return hosts[c.random.IntN(len(hosts))], true
}

// sleep waits for a duration. It returns false if the context ends first.
func sleep(ctx context.Context, timers timer.Service, wait time.Duration) bool {
	sub := timers.After(wait)
	defer sub.Stop()
	select {
	case <-sub.C:
		return true
	case <-ctx.Done():
		return false
	}
}
