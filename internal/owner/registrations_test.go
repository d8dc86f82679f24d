package owner

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// registrationsWithMalformed decodes entries as fakeRegistrations does, except
// those with the value "malformed".
type registrationsWithMalformed struct{ fakeRegistrations }

func (r registrationsWithMalformed) Decode(row rowstore.Row) (cell.Registration, error) {
	if string(row.Value) == "malformed" {
		return cell.Registration{}, fault.New("decode worker", KindStore, "no capacity")
	}
	return r.fakeRegistrations.Decode(row)
}

func TestMalformedEntryThatChangesIsLoggedOnce(t *testing.T) {
	core, logged := observer.New(zap.WarnLevel)
	now := time.Unix(1_700_000_000, 0)
	o := &Owner{
		registrations: registrationsWithMalformed{}, log: zap.New(core), timers: timer.NewSystem(),
		cell: cell.New(now, fakeConfig().Cell, newOwnerMetrics(tally.NoopScope), zap.NewNop()),
	}
	for i, value := range []string{"malformed", "malformed", "valid", "malformed"} {
		row := rowstore.Row{Key: rowstore.Key{Table: tableWorkers, Name: "w1"}, Value: []byte(value), Version: uint64(i)}
		workersChanged(changes{rows: []rowstore.Row{row}, complete: i == 1}).apply(o, now)
	}
	if n := logged.Len(); n != 2 {
		t.Errorf("%d lines for an entry that became malformed twice", n)
	}
}

// Entries that are gone must not be kept, since a writer may use a new name each time.
func TestMalformedEntriesThatAreGoneAreForgotten(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	o := &Owner{
		registrations: registrationsWithMalformed{}, log: zap.NewNop(), timers: timer.NewSystem(),
		cell: cell.New(now, fakeConfig().Cell, newOwnerMetrics(tally.NoopScope), zap.NewNop()),
	}
	for i := range 100 {
		row := rowstore.Row{Key: rowstore.Key{Table: tableWorkers, Name: string(workerID(i))}, Value: []byte("malformed")}
		workersChanged(changes{rows: []rowstore.Row{row}, complete: true}).apply(o, now)
	}
	if n := len(o.malformedRegistrations.names); n != 1 {
		t.Errorf("%d entries are kept, want the one that is listed", n)
	}
	if n := len(o.cell.Workers()); n > 0 {
		t.Errorf("%d workers have an entry that cannot be decoded", n)
	}
}

func TestWorkerWithMalformedEntryIsNotUsed(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	o := &Owner{
		registrations: registrationsWithMalformed{}, log: zap.NewNop(), timers: timer.NewSystem(),
		cell: cell.New(now, fakeConfig().Cell, newOwnerMetrics(tally.NoopScope), zap.NewNop()),
	}
	state := func(value string) cell.WorkerState {
		row := rowstore.Row{Key: rowstore.Key{Table: tableWorkers, Name: "w1"}, Value: []byte(value)}
		workersChanged(changes{rows: []rowstore.Row{row}}).apply(o, now)
		return o.cell.Overview(now).Workers[0].State
	}
	state("valid")
	o.cell.Reported(now, "w1", cell.Report{Incarnation: 1, Clock: time.Second})
	for _, step := range []struct {
		value string
		want  cell.WorkerState
	}{{"valid", cell.WorkerReady}, {"malformed", cell.WorkerUnlisted}, {"malformed", cell.WorkerUnlisted}, {"valid", cell.WorkerReady}} {
		if got := state(step.value); got != step.want {
			t.Errorf("a worker with a %s entry is %s, want %s", step.value, got, step.want)
		}
	}
}
