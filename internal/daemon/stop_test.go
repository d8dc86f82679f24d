package daemon

import (
	"context"
	"errors"
	"slices"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/settings"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// fakeService is a gateway and an entry host whose stop may fail.
type fakeService struct{ err error }

func (fakeService) FailHealthCheck()                 {}
func (s fakeService) Shutdown(context.Context) error { return s.err }
func (s fakeService) Stop(context.Context) error     { return s.err }

// The log must not report a step of a graceful stop as completed when it failed.
func TestFailedStopIsNotLoggedAsCompleted(t *testing.T) {
	failure := errors.New("scripted")
	for name, c := range map[string]struct {
		gateway, host error
		logged        []string
	}{
		"nothing fails":  {nil, nil, []string{"requests in progress are finished", "everything owned is handed over"}},
		"shutdown fails": {failure, nil, []string{"requests in progress were interrupted", "everything owned is handed over"}},
		"handoff fails":  {nil, failure, []string{"requests in progress are finished", "the handoff to other hosts did not complete"}},
	} {
		t.Run(name, func(t *testing.T) {
			core, logs := observer.New(zap.InfoLevel)
			stopCtx, stop := context.WithCancel(t.Context())
			stop()
			p := newStopper(
				stopCtx, t.Context(), fakeService{c.gateway}, fakeService{c.host}, settings.Settings{}, timer.NewSystem(), zap.New(core),
			)
			<-p.Done()
			var logged []string
			for _, line := range logs.All()[1:] {
				logged = append(logged, line.Message)
			}
			if !slices.Equal(logged, c.logged) {
				t.Errorf("logged %q; want %q", logged, c.logged)
			}
			if failed := c.gateway != nil || c.host != nil; failed != fault.Is(p.Err(), KindInterrupted) {
				t.Errorf("the stop ended with %v", p.Err())
			}
		})
	}
}
