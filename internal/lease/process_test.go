package lease

import (
	"strings"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// process is one incarnation of an entry host, with its own clocks.
type process struct {
	w         *world
	place     int
	id        Incarnation
	k         *Keeper
	base      time.Time
	startedAt time.Duration
	// rate is the speed of its clocks; 1 is the speed of true time.
	rate float64
	// skew is the sum of the forward steps of its wall clock.
	skew time.Duration
	// stoppedFor is how long its monotonic clock has been stopped.
	stoppedFor time.Duration

	killed    bool
	paused    bool
	suspended bool
	pausedAt  time.Duration
	backlog   []func() []Action

	authority   Authority
	unjournaled bool
	releasing   map[Unit]uint64
	queued      []act
}

// act is an operation that a host performs as the owner of a unit.
type act struct {
	unit  Unit
	epoch uint64
}

// clock returns the process's Clock.Now.
func (p *process) clock() time.Time {
	run := p.w.now - p.startedAt - p.stoppedFor
	if p.suspended {
		run -= p.w.now - p.pausedAt
	}
	return p.base.Add(time.Duration(float64(run) * p.rate))
}

// latest returns the process's Clock.Latest.
func (p *process) latest() time.Time {
	return p.base.Add(time.Duration(float64(p.w.now-p.startedAt)*p.rate) + p.skew)
}

func (p *process) tick() {
	if p.killed {
		return
	}
	p.w.after(worldTick, p.tick)
	if !p.paused {
		p.perform(p.k.Tick(p.clock(), p.latest()))
	}
}

// receive delivers an event to the process; a paused process handles it when it
// resumes.
func (p *process) receive(e func() []Action) {
	switch {
	case p.killed:
	case p.paused:
		p.backlog = append(p.backlog, e)
	default:
		p.perform(e())
		p.perform(p.k.Tick(p.clock(), p.latest()))
	}
}

// pause pauses the process for d; suspended stops its monotonic clock too.
func (p *process) pause(d time.Duration, suspended bool) {
	if p.paused {
		return
	}
	p.paused, p.suspended, p.pausedAt = true, suspended, p.w.now
	p.w.after(d, p.resume)
}

func (p *process) resume() {
	if p.killed || !p.paused {
		return
	}
	if p.suspended {
		p.stoppedFor += p.w.now - p.pausedAt
	}
	p.paused, p.suspended = false, false
	// The process first sends the acts that it had queued, and then handles the
	// events that have arrived.
	p.sendQueued()
	backlog := p.backlog
	p.backlog = nil
	for _, e := range backlog {
		p.receive(e)
	}
}

func (p *process) perform(actions []Action) {
	for _, a := range actions {
		p.carryOut(a)
	}
	p.authority = p.k.Authority()
	p.unjournaled = p.k.MayStartUnjournaled(p.latest())
}

func (p *process) carryOut(a Action) {
	w := p.w
	switch a := a.(type) {
	case Commit:
		w.commit(p, a.Commit)
	case List:
		w.read(p, func() func() []Action {
			call := w.now
			rows := w.table.list(a.Prefix, a.After)
			return func() []Action {
				w.history.listed(p, rows, call, w.now)
				out, _ := p.k.Listed(a.After, rows, p.clock())
				return out
			}
		})
	case Read:
		w.read(p, func() func() []Action {
			row, ok := w.table.rows[a.Key]
			return func() []Action { return p.k.RowRead(row, ok, p.clock()) }
		})
	case RequestPromise:
		sentAt := p.latest()
		w.ask(p, a.To.Addr, func(q *process) func(Incarnation) []Action {
			granted := q.k.PromiseRequested(p.id, a.Unjournaled, q.clock())
			return func(from Incarnation) []Action {
				if from == a.To.Incarnation {
					p.k.PromiseAnswered(from, granted, a.Unjournaled, sentAt)
				}
				return nil
			}
		})
	case RequestFenceConsent:
		w.ask(p, a.To.Addr, func(q *process) func(Incarnation) []Action {
			granted, unjournaled := q.k.FenceConsentRequested(a.Incarnation, a.Version, q.clock())
			return func(from Incarnation) []Action {
				if from == a.To.Incarnation {
					p.k.FenceConsentAnswered(from, a.Incarnation, a.Version, granted, unjournaled)
				}
				return nil
			}
		})
	case Probe:
		w.ask(p, a.Host.Addr, func(*process) func(Incarnation) []Action {
			return func(from Incarnation) []Action {
				p.k.Probed(a.Host.Incarnation, from, p.clock())
				return nil
			}
		})
	case Gained:
		w.oracle.checkGained(p, a)
	case Release:
		p.release(a)
	}
}

// release tells the keeper, after a random delay, that the process has stopped
// acting on a unit.
func (p *process) release(a Release) {
	if p.releasing[a.Unit] == a.Epoch {
		return
	}
	p.releasing[a.Unit] = a.Epoch
	p.w.after(p.w.randomUpTo(2*time.Second), func() {
		p.receive(func() []Action {
			p.k.UnitStopped(a.Unit, a.Epoch)
			return nil
		})
	})
}

// queueActs queues an act on every unit that the process may act on now.
func (p *process) queueActs() {
	for _, u := range p.w.units {
		if g, ok := p.authority.Held[u]; ok && p.authority.MayAct(u, g.Epoch, p.latest()) == nil {
			p.queued = append(p.queued, act{u, g.Epoch})
		}
	}
}

// sendQueued sends the queued acts that are still allowed.
func (p *process) sendQueued() {
	if p.killed || p.paused {
		return
	}
	for _, a := range p.queued {
		if p.mayAct(a) {
			p.w.oracle.checkAct(p, a)
		}
	}
	p.queued = nil
}

// mayAct is the check immediately before an act, without the guard that the test
// omits.
func (p *process) mayAct(a act) bool {
	authority, epoch := p.authority, a.epoch
	if p.w.omit == omitDeadline {
		authority.Deadline = p.latest().Add(time.Second)
	}
	if g, ok := authority.Held[a.unit]; ok && p.w.omit == omitEpoch {
		epoch = g.Epoch
	}
	return authority.MayAct(a.unit, epoch, p.latest()) == nil
}

// memoryTable is an in-memory table service without faults.
type memoryTable struct {
	rows    map[string]platform.Row
	version uint64
	// commits counts the commits, listed the rows listed, and bytes the bytes
	// written and listed.
	commits int
	listed  int
	bytes   int
}

func newMemoryTable() *memoryTable { return &memoryTable{rows: make(map[string]platform.Row)} }

func (t *memoryTable) apply(c platform.Commit) (uint64, bool) {
	t.commits++
	for _, check := range c.Checks {
		if t.rows[check.Key].Version != check.Version {
			return 0, false
		}
	}
	t.version++
	for _, write := range c.Writes {
		t.bytes += len(write.Key) + len(write.Value)
		if write.Delete {
			delete(t.rows, write.Key)
			continue
		}
		t.rows[write.Key] = platform.Row{Key: write.Key, Version: t.version, WriteID: c.ID, Value: write.Value}
	}
	return t.version, true
}

// hostState returns the state of an incarnation's HostRow.
func (t *memoryTable) hostState(i Incarnation) (HostState, bool) {
	key := HostKey(worldDataCentre, i)
	r, ok := t.rows[key]
	if !ok {
		return "", false
	}
	row, err := DecodeHost(key, r.Value)
	return row.State, err == nil
}

func (t *memoryTable) list(prefix string, after uint64) []platform.Row {
	var out []platform.Row
	for _, r := range t.rows {
		if strings.HasPrefix(r.Key, prefix) && r.Version > after {
			out = append(out, r)
			t.listed++
			t.bytes += len(r.Key) + len(r.Value)
		}
	}
	sortRows(out)
	return out
}
