// Package kernel provides a service registry and a run group. Provide registers a
// service, which Find looks up by name; AddRunner adds a service to the group that
// runs and stops together.
package kernel

import (
	"context"
	"slices"
	"sync"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// Kind is the reason why a call of the kernel failed.
type Kind string

const (
	// KindMissing means that no service is registered under the name.
	KindMissing Kind = "missing service"
	// KindNameTaken means that another service is already registered under the
	// name.
	KindNameTaken Kind = "name taken"
	// KindWrongType means that the service registered under the name does not
	// have the requested type.
	KindWrongType Kind = "wrong type"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// Kernel holds services by name and supervises its runners as one group: when one
// ends, all are closed in the reverse of the order in which they were added.
type Kernel struct {
	log      *zap.Logger
	mu       sync.Mutex
	services map[string]any
	runners  []namedRunner
}

type namedRunner struct {
	name string
	Runner
}

// New returns an empty kernel.
func New(log *zap.Logger) *Kernel {
	return &Kernel{log: log.Named("kernel"), services: make(map[string]any)}
}

// Provide registers a service under a name.
func (k *Kernel) Provide(name string, service any) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, taken := k.services[name]; taken {
		return fault.New("provide", KindNameTaken, "service %q is registered already", name)
	}
	k.services[name] = service
	return nil
}

// Find returns the service registered under a name as type T, which is usually
// a small interface that the caller declares.
func Find[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var zero T
	v, ok := k.services[name]
	if !ok {
		return zero, fault.New("find", KindMissing, "no service is named %q", name)
	}
	t, ok := v.(T)
	if !ok {
		return zero, fault.New("find", KindWrongType, "service %q is a %T", name, v)
	}
	return t, nil
}

// Runner is a service that runs until it fails or is closed. It is already running
// when it is added.
type Runner interface {
	// Done is closed when the service has ended.
	Done() <-chan struct{}
	// Err returns the error that ended the service, or nil after Close.
	Err() error
	// Close stops the service and waits until its goroutines have ended.
	Close()
}

// AddRunner adds a service to the run group. It must be called before Wait.
func (k *Kernel) AddRunner(name string, r Runner) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.runners = append(k.runners, namedRunner{name: name, Runner: r})
}

// Wait blocks until the context ends or a service of the run group ends, stops
// all services of the group, and returns the error of the one that ended first.
func (k *Kernel) Wait(ctx context.Context) error {
	k.mu.Lock()
	runners := slices.Clone(k.runners)
	k.mu.Unlock()
	var group run.Group
	groupCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	group.Add(func() error {
		<-groupCtx.Done()
		return nil
	}, func(error) { cancel() })
	// run.Group interrupts its members in the order in which they were added,
	// so that adding the runners in reverse stops the latest runner first.
	for _, r := range slices.Backward(runners) {
		group.Add(func() error {
			<-r.Done()
			k.log.Info("service ended", zap.String("Service", r.name), zap.Error(r.Err()))
			return r.Err()
		}, func(error) { r.Close() })
	}
	return group.Run()
}
