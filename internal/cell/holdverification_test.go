package cell_test

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

// Guards against a lease that is too long, and ends that are forgotten before they were
// seen: the relay of a hold call that follows a report at once is suspended, and sends the
// call to a worker that has restarted meanwhile.
func TestHoldRightAfterAReportNamesItsIncarnation(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := cell.New(now, scriptConfig, nopObserver{}, zap.NewNop())
	c.SetManifest(&manifest.Manifest{Version: 1})
	c.Register(now, cell.Registration{ID: "w", Incarnation: 1, Machine: "m", Service: "s"})
	c.Reported(now, "w", cell.Report{Incarnation: 1, Clock: time.Minute})
	hold, ok := c.NextHold(now, "w")
	if !ok || hold.Incarnation != 1 || hold.Deadline <= time.Minute {
		t.Errorf("%+v, %v; want a call that renews the lease of incarnation 1", hold, ok)
	}
}
