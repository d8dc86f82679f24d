// Package kernel is the micro-kernel of a process: services register under a
// name, find each other by it, and are started and stopped together.
package kernel

import (
	"context"
	"slices"
	"sync"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// Kind tells what was wrong with a call of the kernel.
type Kind string

const (
	// KindMissing means that no service has the name.
	KindMissing Kind = "missing service"
	// KindNameTaken means that another service already has the name.
	KindNameTaken Kind = "name taken"
	// KindWrongType means that the service of that name has another type.
	KindWrongType Kind = "wrong type"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// Kernel holds the services of one process by name and runs them as one group:
// when one ends, all are stopped, in the reverse order of their registration.
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

// Find returns the service of a name as the type that its user needs, which is
// as a rule a small interface of that user.
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

// Runner is a service that works until it is closed. Its goroutines start in
// its constructor.
type Runner interface {
	// Done is closed when the service has ended.
	Done() <-chan struct{}
	// Err tells why the service ended; nil after Close.
	Err() error
	// Close stops the service and waits for its goroutines.
	Close()
}

// AddRunner adds a service to the group. Call it before Wait.
func (k *Kernel) AddRunner(name string, r Runner) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.runners = append(k.runners, namedRunner{name: name, Runner: r})
}

// Wait runs the group until the context or one of the services ends, stops all
// of them, and returns the error of the one that ended first.
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
	// The group interrupts its members in the order in which they were added.
	for _, r := range slices.Backward(runners) {
		group.Add(func() error {
			<-r.Done()
			k.log.Info("service ended", zap.String("Service", r.name), zap.Error(r.Err()))
			return r.Err()
		}, func(error) { r.Close() })
	}
	return group.Run()
}
