package owner

import (
	"testing"
	"time"
)

func TestAReadIsLateAgainstTheOthers(t *testing.T) {
	const ms = time.Millisecond
	begin := time.Unix(0, 0)
	for _, c := range []struct {
		name  string
		reads int
		ended []time.Duration
		late  time.Duration
	}{
		{"none has ended", 4, nil, maxLate},
		{"fewer than half have ended", 4, []time.Duration{20 * ms}, maxLate},
		{"a quick store", 4, []time.Duration{20 * ms, 30 * ms}, minLate},
		{"a narrow link", 4, []time.Duration{500 * ms, 700 * ms, 1200 * ms}, 2100 * ms},
		{"a very narrow link", 4, []time.Duration{2 * time.Second, 2 * time.Second}, maxLate},
		{"one read, which has ended", 1, []time.Duration{20 * ms}, minLate},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPace(begin, c.reads)
			for _, after := range c.ended {
				p.ended(begin.Add(after))
			}
			if got := p.lateAfter(); got != c.late {
				t.Errorf("late after %v, want %v", got, c.late)
			}
		})
	}
}
