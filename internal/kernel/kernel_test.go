package kernel

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// fakeRunner is a Runner that ends when the test closes the channel end or calls
// Close. Close appends the name of the runner to closed.
type fakeRunner struct {
	name   string
	closed *[]string
	end    chan struct{}
	once   sync.Once
	err    error
}

func (s *fakeRunner) Done() <-chan struct{} { return s.end }

func (s *fakeRunner) Err() error { return s.err }

func (s *fakeRunner) Close() {
	*s.closed = append(*s.closed, s.name)
	s.once.Do(func() { close(s.end) })
}

func newKernelWithServices(closed *[]string) (*Kernel, []*fakeRunner) {
	k := New(zap.NewNop())
	var services []*fakeRunner
	for _, name := range []string{"table", "pool", "gateway"} {
		s := &fakeRunner{name: name, closed: closed, end: make(chan struct{})}
		services = append(services, s)
		k.AddRunner(name, s)
	}
	return k, services
}

func TestWaitStopsAllInReverseOrderWhenOneEnds(t *testing.T) {
	var closed []string
	k, services := newKernelWithServices(&closed)
	services[1].err = errors.New("the pool failed")
	services[1].once.Do(func() { close(services[1].end) })
	if err := k.Wait(t.Context()); !errors.Is(err, services[1].err) {
		t.Errorf("Wait returned %v", err)
	}
	if want := []string{"gateway", "pool", "table"}; !slices.Equal(closed, want) {
		t.Errorf("closed %v, want %v", closed, want)
	}
}

func TestWaitEndsWhenContextIsCancelled(t *testing.T) {
	var closed []string
	k, _ := newKernelWithServices(&closed)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := k.Wait(ctx); err != nil || len(closed) != 3 {
		t.Errorf("closed %v, error %v", closed, err)
	}
}

func TestFind(t *testing.T) {
	k := New(zap.NewNop())
	if err := k.Provide("pool", &fakeRunner{name: "pool"}); err != nil {
		t.Fatal(err)
	}
	if found, err := Find[Runner](k, "pool"); err != nil || found.(*fakeRunner).name != "pool" {
		t.Errorf("found %v, %v", found, err)
	}
	if err := k.Provide("pool", 1); !fault.Is(err, KindNameTaken) {
		t.Errorf("registering a second service under the same name returned %v", err)
	}
	if _, err := Find[error](k, "pool"); !fault.Is(err, KindWrongType) {
		t.Errorf("finding a service as a type that it does not have returned %v", err)
	}
	if _, err := Find[Runner](k, "gateway"); !fault.Is(err, KindMissing) {
		t.Errorf("finding a service that is not registered returned %v", err)
	}
}
