package standin

import (
	"context"
	"maps"
	"slices"
	"sync"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// Objects stands in for the object store.
type Objects struct {
	Faults

	mu      sync.Mutex
	objects map[string][]byte
	counts  Counts
}

// NewObjects returns an empty object store.
func NewObjects(timers timer.Service) *Objects {
	return &Objects{Faults: Faults{timers: timers}, objects: make(map[string][]byte)}
}

// Put stores an object under a name. It replaces an existing one.
func (o *Objects) Put(ctx context.Context, name string, content []byte) error {
	return o.change(ctx, "put", name, func() { o.objects[name] = slices.Clone(content) })
}

// Delete deletes an object. It is no error if the object does not exist.
func (o *Objects) Delete(ctx context.Context, name string) error {
	return o.change(ctx, "delete", name, func() { delete(o.objects, name) })
}

func (o *Objects) change(ctx context.Context, op, name string, apply func()) error {
	_, err := withFaults(ctx, &o.Faults, op, func() (struct{}, error) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.counts.Writes++
		if name == "" {
			return struct{}{}, invalid(op, "the object has no name")
		}
		apply()
		return struct{}{}, nil
	})
	return err
}

// Get returns the named object, or an error of KindMissing.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	return withFaults(ctx, &o.Faults, "get", func() ([]byte, error) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.counts.Reads++
		content, ok := o.objects[name]
		if !ok {
			return nil, fault.New("get", platform.KindMissing, "no object %q", name)
		}
		return slices.Clone(content), nil
	})
}

// Names returns the sorted names of all objects.
func (o *Objects) Names() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Sorted(maps.Keys(o.objects))
}

// Counts returns the numbers of operations on the store.
func (o *Objects) Counts() Counts {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counts
}
