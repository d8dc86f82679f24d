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
	callersPerCentre = 12
	// callEvery is the mean pause of one caller between two requests.
	callEvery = 150 * time.Millisecond
	// callAttempts bounds how often a caller repeats one key.
	callAttempts = 6
	callDeadline = 1500 * time.Millisecond
	repeatAfter  = 150 * time.Millisecond
	callTimeout  = 3 * time.Second
)

// caller sends requests to the service of one data centre, as a guide's phone
// does through the platform's balancer.
type caller struct {
	deployment *standin.Deployment
	balancer   Balancer
	dataCentre standin.DataCentre
	client     *http.Client
	random     *rand.Rand
	timers     timer.Service
}

// run sends requests until the context ends; the last one is finished.
func (c *caller) run(ctx context.Context) {
	for pause(ctx, c.timers, time.Duration(c.random.Int64N(int64(2*callEvery)))) {
		c.request()
	}
}

// request sends one request and repeats its key until the outcome is known.
func (c *caller) request() {
	key := uuid.Must(uuid.NewV7()).String()
	idempotent := c.random.IntN(2) == 0
	body := []byte("deposit " + key)
	audit := c.deployment.Audit
	audit.Accepted(key)
	outcome := standin.OutcomeNotRun
	for range callAttempts {
		switch c.attempt(key, idempotent, body) {
		case standin.OutcomeAnswered:
			audit.Told(key, standin.OutcomeAnswered)
			return
		case standin.OutcomeUnknown:
			// From here on the key may have run, whatever a repeat says.
			outcome = standin.OutcomeUnknown
		case standin.OutcomeNotRun:
		}
		pause(context.Background(), c.timers, repeatAfter)
	}
	audit.Told(key, outcome)
}

// attempt sends the request once, to any entry host of the data centre, or of
// another one of the region when none is up.
func (c *caller) attempt(key string, idempotent bool, body []byte) standin.Outcome {
	target, ok := c.balance()
	if !ok {
		return standin.OutcomeNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	url := fmt.Sprintf("%s/v1/services/%s/check", target.URL, c.deployment.Service)
	// The body is hidden behind a plain reader, so that net/http does not send
	// the request again by itself.
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
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return standin.OutcomeUnknown
	}
	switch message.Outcome(resp.Header.Get(api.HeaderOutcome)) {
	case message.OutcomeAnswered:
		if standin.Whole(key, body, answer) {
			return standin.OutcomeAnswered
		}
	case message.OutcomeNotRun:
		return standin.OutcomeNotRun
	case message.OutcomeUnknown:
	}
	return standin.OutcomeUnknown
}

// dialOutcome tells a request that was never sent from one that may have been.
func dialOutcome(err error) standin.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return standin.OutcomeNotRun
	}
	return standin.OutcomeUnknown
}

func (c *caller) balance() (Member, bool) {
	up := c.balancer.Up(c.dataCentre.Name)
	if len(up) == 0 {
		up = c.balancer.Up("")
	}
	if len(up) == 0 {
		return Member{}, false
	}
	return up[c.random.IntN(len(up))], true
}

// pause waits and reports false when the context ends first.
func pause(ctx context.Context, timers timer.Service, wait time.Duration) bool {
	sub := timers.After(wait)
	defer sub.Stop()
	select {
	case <-sub.C:
		return true
	case <-ctx.Done():
		return false
	}
}
