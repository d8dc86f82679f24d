package daemon

import (
	"context"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// meterInterval is the interval at which the status of the entry host is read.
const meterInterval = time.Second

// statusSource is the entry host, as far as the meter reads it.
type statusSource interface {
	Status() message.StatusAnswer
	Bytes() map[peer.Flow]uint64
}

// meter exports the status of an entry host as metrics.
type meter struct {
	host   statusSource
	scope  tally.Scope
	seen   map[peer.Flow]uint64
	cancel context.CancelFunc
	done   chan struct{}
}

func newMeter(host statusSource, scope tally.Scope, timers timer.Service) *meter {
	ctx, cancel := context.WithCancel(context.Background())
	m := &meter{
		host: host, scope: scope.SubScope("entry"), seen: make(map[peer.Flow]uint64), cancel: cancel,
		done: make(chan struct{}),
	}
	go func() {
		defer close(m.done)
		sub := timers.Every(meterInterval)
		defer sub.Stop()
		for {
			m.read()
			select {
			case <-sub.C:
			case <-ctx.Done():
				m.scope.Gauge("units").Update(0)
				return
			}
		}
	}()
	return m
}

// read updates the gauges, and adds to the counters the bytes since the last
// time.
func (m *meter) read() {
	status := m.host.Status()
	m.scope.Gauge("units").Update(float64(len(status.Units)))
	m.scope.Gauge("sections").Update(float64(len(status.Revisions)))
	for flow, total := range m.host.Bytes() {
		m.scope.Tagged(map[string]string{
			"kind": strconv.Itoa(int(flow.Kind)), "data_centre": flow.DataCentre, "out": strconv.FormatBool(flow.Out),
		}).Counter("peer_bytes").Inc(int64(total - m.seen[flow]))
		m.seen[flow] = total
	}
}

// Done is closed when the meter has stopped.
func (m *meter) Done() <-chan struct{} { return m.done }

// Err returns nil, since the meter stops only by Close.
func (m *meter) Err() error { return nil }

// Close stops the meter.
func (m *meter) Close() {
	m.cancel()
	<-m.done
}
