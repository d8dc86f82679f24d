package owner

import (
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
)

// The limit must rise only while it is reached and the host has capacity to spare, fast
// until the first overload and slowly afterwards, and fall fast when it has none.
func TestStartLimiter(t *testing.T) {
	const ms = time.Millisecond
	l := newStartLimiter(0)
	for i, c := range []struct {
		delay    time.Duration
		excess   time.Duration
		inFlight int
		answers  int
		limit    int
	}{
		{0, 0, 10, 1, 16},
		{0, 0, 16, 1, 32},
		{5 * ms, 0, 32, 1, 64},
		{0, 0, 64, 0, 64},
		{20 * ms, 0, 64, 1, 64},
		{0, 60 * ms, 64, 1, 64},
		{0, 0, 60, 1, 64},
		{0, 0, 64, 1, 128},
		{60 * ms, 0, 128, 1, 64},
		{200 * ms, 0, 64, 1, 64}, // sent before the decrease
		{200 * ms, 0, 64, 1, 64},
		{0, 120 * ms, 64, 1, 32},
		{0, 0, 32, 1, 40},
		{0, 0, 32, 1, 40},
		{0, 0, 40, 1, 50},
	} {
		if l.observe(loadOf(c.delay, c.excess), c.inFlight, c.answers); l.limit != c.limit {
			t.Errorf("step %d: limit %d, want %d", i, l.limit, c.limit)
		}
	}
	for range 100 {
		l.observe(hostOverloaded, l.limit, l.limit)
	}
	if l.limit != minStartsInFlight {
		t.Errorf("the limit is %d after a long overload, want %d", l.limit, minStartsInFlight)
	}
	// Normal service has to return within seconds once the load falls.
	for range 4 * time.Second / tickInterval {
		l.observe(hostIdle, l.limit, l.limit)
	}
	if l.limit != maxStartsInFlight {
		t.Errorf("the limit is %d 4 s after the overload, want %d", l.limit, maxStartsInFlight)
	}
}

// A host whose ticks are never in time must not keep its lowest limit after an overload,
// unless starts wait for it, and must not exceed what it can bear for long.
func TestLateHostRecoversFromAnOverload(t *testing.T) {
	const bearable = 100
	late := loadOf(idleTickDelay+1, 0)
	l := newStartLimiter(0)
	for range 100 {
		l.observe(hostOverloaded, l.limit, 1)
	}
	for range 10 * time.Second / tickInterval {
		l.observe(late, l.limit-1, 1)
		l.observe(late, l.limit, 0)
		l.observe(loadOf(idleTickDelay+1, idleExcess+1), l.limit, 1)
	}
	if l.limit != minStartsInFlight {
		t.Errorf("the limit is %d although it was not reached, or starts wait", l.limit)
	}
	above, ticks := 0, int(60*time.Second/tickInterval)
	for range ticks {
		load := late
		if l.limit > bearable {
			above++
			load = hostOverloaded
		}
		l.observe(load, l.limit, 1)
	}
	if l.limit < bearable/limitDivisor || above > ticks/10 {
		t.Errorf("the limit is %d, and was above %d in %d of %d ticks", l.limit, bearable, above, ticks)
	}
}

// Workers that are far away, and single slow ones, must not look like an overloaded host.
func TestExcessLatencyTellsTheHostFromItsWorkers(t *testing.T) {
	near, far, slow := cell.WorkerID("near"), cell.WorkerID("far"), cell.WorkerID("slow")
	const ms = time.Millisecond
	l := newLatencyTracker()
	starts := func(latencies map[cell.WorkerID]time.Duration) time.Duration {
		for range 4 {
			for id, latency := range latencies {
				l.note(id, latency, latency < orderTimeout)
			}
		}
		excess, _ := l.take()
		return excess
	}
	starts(map[cell.WorkerID]time.Duration{near: 3 * ms, far: 90 * ms, slow: 5 * ms})
	for _, c := range []struct {
		name      string
		latencies map[cell.WorkerID]time.Duration
		load      hostLoad
	}{
		{"far workers", map[cell.WorkerID]time.Duration{near: 4 * ms, far: 95 * ms}, hostIdle},
		{"one silent worker", map[cell.WorkerID]time.Duration{near: 4 * ms, far: 95 * ms, slow: 350 * ms}, hostIdle},
		{"all wait", map[cell.WorkerID]time.Duration{near: 150 * ms, far: 240 * ms, slow: 350 * ms}, hostOverloaded},
		{"too few starts", nil, hostIdle},
	} {
		if got := loadOf(0, starts(c.latencies)); got != c.load {
			t.Errorf("%s: load %d, want %d", c.name, got, c.load)
		}
	}
}

// Workers that all become slow must not keep the limit at its lowest.
func TestSlowWorkersDoNotKeepTheLimitLow(t *testing.T) {
	starts, l := newStartTracker(), newStartLimiter(0)
	for tick := range 60 {
		latency := 20 * time.Millisecond
		if tick >= 10 {
			latency = 300 * time.Millisecond
		}
		for i := range l.limit {
			starts.latency.note(workerID(i%20), latency, true)
		}
		starts.peak = l.limit
		starts.tick(0, &l)
	}
	if l.limit <= initialStartsInFlight {
		t.Errorf("the limit is %d, 5 s after all workers have become slow", l.limit)
	}
}

// A new owner on a strong host must not begin with the limit of the weakest one, since all
// that waits for it at the takeover waits for these starts.
func TestFirstStartLimitFollowsTheProcessorShare(t *testing.T) {
	for cores, want := range map[float64]int{0: 16, 0.1: 16, 0.192: 16, 0.4: 32, 0.8: 64, 64: maxStartsInFlight} {
		if l := newStartLimiter(cores); l.limit != want {
			t.Errorf("%v cores: limit %d, want %d", cores, l.limit, want)
		}
	}
}
