package cell

import (
	"testing"
	"time"
)

func TestSlownessIsLearnedAndForgotten(t *testing.T) {
	now := time.Unix(0, 0)
	var h health
	h.took(now, 1.4)
	if h.slowNow(now) > slowEnough {
		t.Error("one run that took a little longer makes a worker slow")
	}
	for range 3 {
		now = now.Add(time.Second)
		h.took(now, 8)
	}
	if h.slowNow(now) <= slowEnough {
		t.Error("runs that took eight times as long do not make a worker slow")
	}
	if now = now.Add(5 * slowMemory); h.slowNow(now) > slowEnough {
		t.Error("a worker stays slow for ever")
	}
}
