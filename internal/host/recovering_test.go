package host

import (
	"testing"
	"time"
)

// wholeReads is how long a successor on a weak host reads before it decides.
const wholeReads = 2500 * time.Millisecond

// A takeover that others cut short begins anew elsewhere, and nobody decides.
func TestASuccessorIsNotReplacedWhileItTakesOver(t *testing.T) {
	for name, lose := range map[string]func(w *fakeWorld, first *fakeHost){
		"killed":             func(w *fakeWorld, first *fakeHost) { w.stop(first) },
		"silent":             func(w *fakeWorld, first *fakeHost) { w.setCut(first, true, append(w.otherHosts(first), storeName)...) },
		"cut from the store": func(w *fakeWorld, first *fakeHost) { w.setCut(first, true, storeName) },
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *fakeWorld, first *fakeHost) {
				w.slowDown(wholeReads)
				lose(w, first)
				time.Sleep(wholeReads + 2*takeoverWithin)
				if epoch := w.row().Epoch; epoch != 2 {
					t.Errorf("epoch %d where one successor should be at work", epoch)
				}
				if w.lastHold("w0", 2).IsZero() {
					t.Error("the first successor has held no worker")
				}
			})
		})
	}
}
