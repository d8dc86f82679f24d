package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/rowstore"
)

// A table that can be read in a takeover can be read again by its feed.
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
