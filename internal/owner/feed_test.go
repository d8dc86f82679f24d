package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/rowstore"
)

// Rereading a table after the store has compacted its history may take as long as
// reading it in a takeover.
func TestRereadHasTheTimeoutOfATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(2)
		o := p.startOwner()
		defer o.Close()
		time.Sleep(time.Second)
		p.mu.Lock()
		p.readTakes = 14 * time.Second
		p.mu.Unlock()
		f := &feed{table: tableWorkers, ranges: []rowstore.Range{{Table: tableWorkers}}, newEvent: workersChanged}
		if err := o.reread(f); err != nil || f.version == 0 {
			t.Errorf("version %d, %v", f.version, err)
		}
	})
}
