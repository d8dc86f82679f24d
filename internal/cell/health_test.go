package cell

import (
	"testing"
	"time"
)

func TestSlownessIsLearnedAndDecays(t *testing.T) {
	now := time.Unix(0, 0)
	var h health
	h.recordRunTime(now, 1.4)
	if h.currentSlowness(now) > slowThreshold {
		t.Error("one run that took a little longer makes a worker slow")
	}
	for range 3 {
		now = now.Add(time.Second)
		h.recordRunTime(now, 8)
	}
	if h.currentSlowness(now) <= slowThreshold {
		t.Error("runs that took eight times as long do not make a worker slow")
	}
	if now = now.Add(5 * slownessHalfLife); h.currentSlowness(now) > slowThreshold {
		t.Error("a worker stays slow forever")
	}
}
