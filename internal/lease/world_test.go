package lease

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

const (
	worldTick       = 200 * time.Millisecond
	worldTimeout    = 2 * time.Second
	worldDataCentre = "centro-a"
)

var worldUnits = []Unit{"keys-0", "keys-1", "pool", "upstreams-tira-service-0", "upstreams-tira-service-1"}

// worldConfig returns the default Config with a MaxExtension short enough for a
// test to wait for, and a shorter RebalanceDelay and LapseGrace.
func worldConfig() Config {
	c := DefaultConfig()
	c.MaxExtension = 30 * time.Second
	c.RebalanceDelay = 3 * time.Second
	c.LapseGrace = 3 * time.Second
	return c
}

// event is a function that runs at a true time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// place is a slot of the data centre that runs one process of an entry host at a
// time.
type place struct {
	name string
	addr netip.AddrPort
	p    *process
	// storeCutUntil is until when the table service is unreachable.
	storeCutUntil time.Duration
	// writesLostUntil is until when commits to the table service are lost.
	writesLostUntil time.Duration
	// answersLostUntil is until when responses of the table service are lost.
	answersLostUntil time.Duration
	// peerCutUntil is until when messages to each other place are lost.
	peerCutUntil map[int]time.Duration
}

// interruption is a fault that hits the next host that sends a commit of a given
// purpose.
type interruption struct {
	purpose purpose
	fault   interruptionFault
	lasts   time.Duration
}

type interruptionFault int

const (
	killAfterSend interruptionFault = iota
	pauseAfterSend
	loseAnswer
	delayCommit
	leaveAndDelayCommit
)

// networkFaults holds the loss, the repetition and the delay of messages until a
// true time.
type networkFaults struct {
	until     time.Duration
	lossPct   int
	repeatPct int
	delay     time.Duration
}

func (c networkFaults) activeAt(now time.Duration) networkFaults {
	if now >= c.until {
		return networkFaults{delay: 5 * time.Millisecond}
	}
	return c
}

// world simulates the processes of a data centre, their table service and their
// network in virtual time. Its oracle checks the invariants after every event.
type world struct {
	cfg          Config
	units        []Unit
	omit         omission
	rng          *rand.Rand
	now          time.Duration
	seq          int
	queue        eventQueue
	table        *memoryTable
	places       []*place
	incarnations int
	// requests counts the requests to peers.
	requests int
	store    networkFaults
	peers    networkFaults

	interruption *interruption
	// delayFencesUntil is until when commits that fence a host arrive late.
	delayFencesUntil time.Duration

	oracle  oracle
	history *history
}

func newWorld(hosts int, seed uint64, omit omission) *world {
	return newWorldOf(worldConfig(), worldUnits, hosts, seed, omit)
}

func newWorldOf(cfg Config, units []Unit, hosts int, seed uint64, omit omission) *world {
	w := &world{
		cfg: cfg, units: units, omit: omit, rng: rand.New(rand.NewPCG(seed, seed)), table: newMemoryTable(),
		oracle: newOracle(), history: &history{versions: make(map[string]uint64)},
	}
	for i := range hosts {
		pl := &place{name: fmt.Sprintf("entry-%02d", i), peerCutUntil: make(map[int]time.Duration)}
		w.places = append(w.places, pl)
		w.boot(i, false)
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + d, seq: w.seq, do: do})
}

// run advances true time by d and runs the events that are due.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end && w.oracle.violation == "" {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
		w.checkOwners()
	}
	w.now = end
	w.checkOwners()
}

func (w *world) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(max(d, 1))))
}

func (w *world) chance(pct int) bool { return w.rng.IntN(100) < pct }

// boot starts a new incarnation at a place that is down.
func (w *world) boot(i int, newAddr bool) {
	pl := w.places[i]
	if pl.p != nil {
		return
	}
	w.incarnations++
	if newAddr || !pl.addr.IsValid() {
		pl.addr = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+w.incarnations))
	}
	id := Incarnation(fmt.Sprintf("i%03d", w.incarnations))
	p := &process{
		w: w, place: i, id: id, startedAt: w.now, rate: 0.985 + 0.03*w.rng.Float64(), releasing: make(map[Unit]uint64),
		base: time.Unix(1_000_000_000, 0).Add(w.randomUpTo(time.Hour)),
		k:    New(w.cfg, worldDataCentre, Peer{Incarnation: id, Name: pl.name, Addr: pl.addr}, w.units),
	}
	p.k.omit = w.omit
	pl.p = p
	p.tick()
}

// kill kills the process at a place.
func (w *world) kill(i int) {
	if p := w.places[i].p; p != nil {
		p.killed = true
		w.places[i].p = nil
	}
}

func (w *world) reachesStore(p *process) bool { return w.now >= w.places[p.place].storeCutUntil }

// storeDelay returns a random one-way delay to or from the table service.
func (w *world) storeDelay() time.Duration { return w.randomUpTo(w.store.activeAt(w.now).delay) }

func (w *world) answerLost(p *process) bool {
	return w.now < w.places[p.place].answersLostUntil || w.losesStoreMessage()
}

func (w *world) losesStoreMessage() bool { return w.chance(w.store.activeAt(w.now).lossPct) }

// applyInterruption applies the prepared interruption when the process sends a
// commit of its purpose, and returns the additional delay of the commit.
func (w *world) applyInterruption(p *process) time.Duration {
	if p.k.pending == nil {
		return 0
	}
	if p.k.pending.purpose == purposeFence && w.now < w.delayFencesUntil {
		return w.randomUpTo(4 * time.Second)
	}
	i := w.interruption
	if i == nil || p.k.pending.purpose != i.purpose {
		return 0
	}
	w.interruption = nil
	pl := w.places[p.place]
	switch i.fault {
	case killAfterSend:
		w.kill(p.place)
	case pauseAfterSend:
		w.after(0, func() { p.pause(i.lasts, false) })
	case loseAnswer:
		pl.answersLostUntil = w.now + i.lasts
	case delayCommit:
		return i.lasts
	case leaveAndDelayCommit:
		w.after(w.randomUpTo(2*time.Second), p.k.Leave)
		return 4*time.Second + i.lasts
	}
	return 0
}

func (w *world) commit(p *process, c platform.Commit) {
	ops := w.history.sent(p, c, w.now)
	answered := false
	answer := func(o Outcome, version uint64) {
		p.receive(func() []Action {
			if answered {
				return nil
			}
			answered = true
			w.history.answered(ops, o, version, w.now)
			return p.k.Committed(c.ID, o, version, p.clock())
		})
	}
	w.after(worldTimeout, func() { answer(OutcomeUnknown, 0) })
	if !w.reachesStore(p) {
		if w.chance(50) {
			w.after(time.Millisecond, func() { answer(OutcomeNotRun, 0) })
		}
		return
	}
	delay := w.storeDelay() + w.applyInterruption(p)
	switch {
	case w.now < w.places[p.place].writesLostUntil:
		return
	case w.losesStoreMessage():
		// Half of these commits are lost, the others arrive much later.
		if w.chance(50) {
			return
		}
		delay = w.randomUpTo(20 * time.Second)
	}
	w.after(delay, func() {
		version, ok := w.table.apply(c)
		w.oracle.checkCommit(w.table, c, ok)
		if w.answerLost(p) {
			return
		}
		o := OutcomeConflict
		if ok {
			o = OutcomeDone
		}
		w.after(w.storeDelay(), func() { answer(o, version) })
	})
}

// read performs a list or a get. The result may arrive late, twice or never.
func (w *world) read(p *process, lookup func() func() []Action) {
	if !w.reachesStore(p) {
		return
	}
	w.after(w.storeDelay(), func() {
		deliver := lookup()
		if w.answerLost(p) {
			return
		}
		w.after(w.storeDelay(), func() { p.receive(deliver) })
		if w.chance(w.store.activeAt(w.now).repeatPct) {
			w.after(w.storeDelay(), func() { p.receive(deliver) })
		}
	})
}

// sendMessage delivers a message between two places; it may arrive late, twice or
// never.
func (w *world) sendMessage(from, to int, deliver func()) {
	c := w.peers.activeAt(w.now)
	if w.now < w.places[from].peerCutUntil[to] || w.chance(c.lossPct) {
		return
	}
	w.after(w.randomUpTo(c.delay), deliver)
	if w.chance(c.repeatPct) {
		w.after(w.randomUpTo(c.delay), deliver)
	}
}

// ask sends a request to the process that listens at an address. The reply carries
// the incarnation that answered.
func (w *world) ask(p *process, to netip.AddrPort, request func(q *process) func(from Incarnation) []Action) {
	w.requests++
	for i, pl := range w.places {
		if pl.addr != to {
			continue
		}
		w.sendMessage(p.place, i, func() {
			q := pl.p
			if q == nil || pl.addr != to {
				return
			}
			q.receive(func() []Action {
				reply := request(q)
				w.sendMessage(i, p.place, func() { p.receive(func() []Action { return reply(q.id) }) })
				return nil
			})
		})
	}
}
