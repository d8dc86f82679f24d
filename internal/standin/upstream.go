package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// Cut determines how an upstream closes the connection after it has run a request.
type Cut string

const (
	// CutNone sends the complete response.
	CutNone Cut = ""
	// CutBefore closes the connection before any byte of the response.
	CutBefore Cut = "Before"
	// CutMidway closes the connection in the middle of the response's body.
	CutMidway Cut = "Midway"
)

// UpstreamConfig configures an upstream instance.
type UpstreamConfig struct {
	Host platform.Host
	Seed uint64
	// ServiceTimeMin and ServiceTimeMax bound the time that a request takes.
	ServiceTimeMin, ServiceTimeMax time.Duration
}

// Upstream stands in for one upstream instance. It runs every request that it
// receives, even beyond its slots and connections, and records in the journal how
// many were in use.
type Upstream struct {
	Faults
	config  UpstreamConfig
	journal *Journal

	mu           sync.Mutex
	random       *rand.Rand
	connections  int
	running      int
	leavingSince time.Time
	fail         bool
	cut          Cut
	// stalled is an open channel while requests are stalled, and nil otherwise.
	stalled chan struct{}
}

// cutResponseError is the cause of the error for a response that is cut short. It
// carries the response, so that a server can send a part of it.
type cutResponseError struct {
	cut      Cut
	response platform.UpstreamResponse
}

// Error describes how the response was cut.
func (c *cutResponseError) Error() string {
	return fmt.Sprintf("the connection was closed after the run (%s)", c.cut)
}

// NewUpstream returns an idle instance.
func NewUpstream(config UpstreamConfig, timers timer.Service, journal *Journal) *Upstream {
	return &Upstream{
		Faults:  Faults{timers: timers},
		config:  config,
		journal: journal,
		random:  rand.New(rand.NewPCG(config.Seed, 1)),
	}
}

// Host returns the instance's entry in the host list.
func (u *Upstream) Host() platform.Host { return u.config.Host }

// Send runs a request and returns its complete response.
func (u *Upstream) Send(ctx context.Context, r platform.UpstreamRequest) (platform.UpstreamResponse, error) {
	u.addTo(&u.connections, 1)
	defer u.addTo(&u.connections, -1)
	return withFaults(ctx, &u.Faults, "send", func() (platform.UpstreamResponse, error) {
		if r.ID == "" {
			return platform.UpstreamResponse{}, invalid("send", "the request has no ID")
		}
		service, stalled := u.begin(r)
		defer u.addTo(&u.running, -1)
		if err := waitWhileStalled(ctx, stalled); err != nil {
			return platform.UpstreamResponse{}, unknown("send", "stalled: %w", err)
		}
		if err := sleep(ctx, u.timers, service); err != nil {
			return platform.UpstreamResponse{}, unknown("send", "no response in time: %w", err)
		}
		return u.respond(r)
	})
}

// begin records the run of a request in the journal. It returns the service time,
// and the channel to wait on if the instance is stalled.
func (u *Upstream) begin(r platform.UpstreamRequest) (time.Duration, <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running++
	now := u.timers.Now()
	run := RequestRun{
		Upstream: u.config.Host.Name, ID: r.ID, IdempotencyKey: r.IdempotencyKey, Idempotent: r.Idempotent,
		Start: now, Running: u.running, Connections: u.connections,
	}
	if !u.leavingSince.IsZero() {
		run.LeavingFor = now.Sub(u.leavingSince)
	}
	u.journal.addRequest(run)
	service := u.config.ServiceTimeMin
	if spread := u.config.ServiceTimeMax - u.config.ServiceTimeMin; spread > 0 {
		service += time.Duration(u.random.Int64N(int64(spread)))
	}
	return service, u.stalled
}

func (u *Upstream) respond(r platform.UpstreamRequest) (platform.UpstreamResponse, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	response := platform.UpstreamResponse{
		ID: r.ID, Status: http.StatusOK, Body: Echo(requestLabel(r), r.Body), Leaving: !u.leavingSince.IsZero(),
	}
	if u.fail {
		response.Status = http.StatusInternalServerError
	}
	if u.cut != CutNone {
		cause := &cutResponseError{cut: u.cut, response: response}
		return platform.UpstreamResponse{}, fault.New("send", platform.KindUnknown, "%w", cause)
	}
	return response, nil
}

// Status returns the status that the instance reports.
func (u *Upstream) Status(ctx context.Context) (platform.UpstreamStatus, error) {
	return withFaults(ctx, &u.Faults, "status", func() (platform.UpstreamStatus, error) {
		u.mu.Lock()
		defer u.mu.Unlock()
		return platform.UpstreamStatus{Running: u.running, Leaving: !u.leavingSince.IsZero()}, nil
	})
}

// SetLeaving makes the instance report in its responses that it is leaving.
func (u *Upstream) SetLeaving(leaving bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case !leaving:
		u.leavingSince = time.Time{}
	case u.leavingSince.IsZero():
		u.leavingSince = u.timers.Now()
	}
}

// SetFail makes the instance respond with status 500 after each run.
func (u *Upstream) SetFail(fail bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fail = fail
}

// SetCut makes the instance close the connection after each run.
func (u *Upstream) SetCut(cut Cut) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cut = cut
}

// SetStalled stalls requests after they have started to run, until it is set to
// false.
func (u *Upstream) SetStalled(stalled bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case stalled && u.stalled == nil:
		u.stalled = make(chan struct{})
	case !stalled && u.stalled != nil:
		close(u.stalled)
		u.stalled = nil
	}
}

func (u *Upstream) addTo(n *int, by int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	*n += by
}

func waitWhileStalled(ctx context.Context, stalled <-chan struct{}) error {
	if stalled == nil {
		return nil
	}
	select {
	case <-stalled:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// requestLabel returns the label by which a caller identifies a request: its
// idempotency key, or its ID if there is none.
func requestLabel(r platform.UpstreamRequest) string {
	if r.IdempotencyKey != "" {
		return r.IdempotencyKey
	}
	return r.ID
}

// Echo returns the response of an upstream to a body: a line with a digest of the
// label and the body, followed by the body. The label is the idempotency key, or
// the ID of a request without a key.
func Echo(label string, body []byte) []byte {
	sum := sha256.New()
	sum.Write([]byte(label))
	sum.Write([]byte{0})
	sum.Write(body)
	return append([]byte(hex.EncodeToString(sum.Sum(nil))+"\n"), body...)
}

// IsCompleteResponse reports whether a response is the complete response to a body
// that was sent under a label.
func IsCompleteResponse(label string, sent, response []byte) bool {
	return bytes.Equal(Echo(label, sent), response)
}
