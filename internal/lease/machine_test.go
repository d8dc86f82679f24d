package lease

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// CI takes the same steps in every run. Flags on the command line override these
// values, for runs with other seeds.
const (
	ciSeed   = "20261204"
	ciChecks = "60"
	ciSteps  = "200"
	minSteps = 10_000
)

// useFixedSeed sets the flags of rapid that the command line does not set. It
// reports whether the seed, checks and steps are those of CI.
func useFixedSeed(t *testing.T) (fixed bool) {
	t.Helper()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed": ciSeed, "rapid.checks": ciChecks, "rapid.steps": ciSteps, "rapid.nofailfile": "true",
	} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	return !given["rapid.seed"] && !given["rapid.checks"] && !given["rapid.steps"]
}

// TestOwnership runs the keepers of a data centre under random faults. At no time
// may two incarnations act on one unit, epochs must not repeat, and after the last
// fault each unit must get an owner within healBound.
func TestOwnership(t *testing.T) {
	fixed := useFixedSeed(t)
	var steps, acts, takes int
	rapid.Check(t, func(t *rapid.T) {
		w, n := runMachine(t, omitNothing)
		steps, acts, takes = steps+n, acts+w.oracle.acts, takes+w.oracle.takeovers
		if w.oracle.violation == "" {
			w.heal()
		}
		if w.oracle.violation != "" {
			t.Fatal(w.oracle.violation)
		}
		if err := w.history.check(); err != nil {
			t.Fatal(err)
		}
	})
	t.Logf("%d steps, %d acts, %d changes of owner", steps, acts, takes)
	if fixed && steps < minSteps {
		t.Fatalf("%d steps; want at least %d", steps, minSteps)
	}
}

// runMachine takes random steps until the oracle finds a violation or the steps
// are used up, and returns their number.
func runMachine(t *rapid.T, omit omission) (*world, int) {
	hosts := rapid.IntRange(2, 4).Draw(t, "hosts")
	w := newWorld(hosts, rapid.Uint64().Draw(t, "network"), omit)
	m := &machine{w: w, hosts: hosts}
	// Time advances more often than faults start, so that units have owners when a
	// fault starts.
	actions := map[string]func(*rapid.T){
		"AdvanceA": m.advance, "AdvanceB": m.advance, "AdvanceC": m.advance, "AdvanceD": m.advance,
		"FaultA": m.fault, "FaultB": m.fault, "Calm": m.calm,
	}
	for name, do := range actions {
		actions[name] = func(t *rapid.T) {
			if w.oracle.violation == "" {
				m.steps++
				do(t)
			}
		}
	}
	t.Repeat(actions)
	return w, m.steps
}

// machine implements the random steps of a run.
type machine struct {
	w     *world
	hosts int
	steps int
}

// fault starts a random fault.
func (m *machine) fault(t *rapid.T) {
	faults := []func(*rapid.T){
		m.kill, m.kill, m.boot, m.pause, m.pause, m.stepClock, m.cutStore, m.cutAllFromStore, m.cutPeer, m.slowStore,
		m.slowPeers, m.leave, m.leave, m.replaceAll, m.unjournaled, m.loseWrites, m.loseAnswers, m.flap, m.lateTakeover,
		m.loseAnswers, m.isolate, m.isolate, m.isolate, m.interrupt, m.interrupt,
		m.interrupt,
	}
	faults[rapid.IntRange(0, len(faults)-1).Draw(t, "fault")](t)
}

// calm ends all faults, starts the processes that are down and advances time.
func (m *machine) calm(t *rapid.T) {
	m.w.endFaults()
	m.advance(t)
}

func (m *machine) host(t *rapid.T) int { return rapid.IntRange(0, m.hosts-1).Draw(t, "host") }

// span draws a duration of at most longest.
func span(t *rapid.T, longest time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(1, int(longest/time.Millisecond)).Draw(t, "ms")) * time.Millisecond
}

// advance advances time. Meanwhile the hosts act on their units, some of them
// late.
func (m *machine) advance(t *rapid.T) {
	for _, pl := range m.w.places {
		if p := pl.p; p != nil && !p.paused {
			p.queueActs()
			m.w.after(m.w.randomUpTo(40*time.Second), p.sendQueued)
		}
	}
	m.w.run(span(t, 6*time.Second))
}

func (m *machine) kill(t *rapid.T) { m.w.kill(m.host(t)) }

func (m *machine) boot(t *rapid.T) { m.w.boot(m.host(t), rapid.Bool().Draw(t, "newAddr")) }

func (m *machine) pause(t *rapid.T) {
	if p := m.w.places[m.host(t)].p; p != nil {
		p.queueActs()
		p.pause(span(t, 20*time.Second), rapid.Bool().Draw(t, "suspended"))
	}
}

func (m *machine) stepClock(t *rapid.T) {
	if p := m.w.places[m.host(t)].p; p != nil {
		p.skew += span(t, time.Minute)
	}
}

func (m *machine) cutStore(t *rapid.T) {
	m.w.places[m.host(t)].storeCutUntil = m.w.now + span(t, 30*time.Second)
}

func (m *machine) cutAllFromStore(t *rapid.T) {
	until := m.w.now + span(t, 40*time.Second)
	for _, pl := range m.w.places {
		pl.storeCutUntil = until
	}
}

func (m *machine) cutPeer(t *rapid.T) {
	from := m.w.places[m.host(t)]
	from.peerCutUntil[m.host(t)] = m.w.now + span(t, 20*time.Second)
}

func (m *machine) slowStore(t *rapid.T) {
	m.w.store = networkFaults{
		until: m.w.now + span(t, 15*time.Second), lossPct: rapid.IntRange(0, 50).Draw(t, "loss"), repeatPct: 10,
		delay: span(t, 8*time.Second),
	}
}

func (m *machine) slowPeers(t *rapid.T) {
	m.w.peers = networkFaults{
		until: m.w.now + span(t, 15*time.Second), lossPct: rapid.IntRange(0, 50).Draw(t, "loss"), repeatPct: 30,
		delay: span(t, 5*time.Second),
	}
}

func (m *machine) leave(t *rapid.T) {
	if p := m.w.places[m.host(t)].p; p != nil {
		p.k.Leave()
	}
}

func (m *machine) replaceAll(t *rapid.T) {
	newAddr := rapid.Bool().Draw(t, "newAddr")
	for i := range m.w.places {
		m.w.kill(i)
		m.w.boot(i, newAddr)
	}
}

func (m *machine) unjournaled(t *rapid.T) {
	if p := m.w.places[m.host(t)].p; p != nil {
		on := rapid.Bool().Draw(t, "on")
		p.receive(func() []Action {
			p.k.SetUnjournaled(on)
			if !on {
				m.w.oracle.clearUnjournaled(p)
			}
			return nil
		})
	}
}

// loseWrites loses the commits of a host, which can still read the table service.
func (m *machine) loseWrites(t *rapid.T) {
	m.w.places[m.host(t)].writesLostUntil = m.w.now + span(t, 40*time.Second)
}

// loseAnswers restarts a host, and loses the table service's responses to an owner
// at about the time at which that owner learns of the restarted host.
func (m *machine) loseAnswers(t *rapid.T) {
	m.w.endFaults()
	owner, _ := m.w.busiest()
	i := (owner + 1) % m.hosts
	m.w.kill(i)
	m.w.run(2 * m.w.cfg.HostTTL)
	m.w.boot(i, false)
	m.w.run(span(t, 3*time.Second))
	lasts := span(t, 20*time.Second)
	m.w.places[owner].answersLostUntil = m.w.now + lasts
	m.w.peers = networkFaults{until: m.w.now + lasts, delay: span(t, time.Second)}
	m.w.run(lasts)
}

// flap kills and restarts a host twice, so that its units move to others, return
// and move again while acts are still queued.
func (m *machine) flap(t *rapid.T) {
	m.w.endFaults()
	i := m.host(t)
	for range 2 {
		m.advance(t)
		m.w.kill(i)
		m.w.run(2 * m.w.cfg.HostTTL)
		m.w.boot(i, false)
		m.w.run(2 * m.w.cfg.RebalanceDelay)
	}
}

// lateTakeover kills an owner, and makes its successor's takeover arrive late while the
// successor leaves.
func (m *machine) lateTakeover(t *rapid.T) {
	m.w.endFaults()
	m.advance(t)
	owner, _ := m.w.busiest()
	m.w.kill(owner)
	m.w.interruption = &interruption{purpose: purposeTakeOver, fault: leaveAndDelayCommit, lasts: span(t, 10*time.Second)}
	m.w.run(3 * m.w.cfg.HostTTL)
}

// interrupt makes a fault hit the next host that sends a commit of a given purpose,
// such as a release, at the moment of sending.
func (m *machine) interrupt(t *rapid.T) {
	purposes := []purpose{
		purposeTakeOver, purposeTakeOver, purposeTakeOver, purposeFence, purposeFence, purposeRelease, purposeLeave,
		purposeRegister, purposeRenew,
	}
	m.w.interruption = &interruption{
		purpose: purposes[rapid.IntRange(0, len(purposes)-1).Draw(t, "purpose")],
		fault:   interruptionFault(rapid.IntRange(0, int(leaveAndDelayCommit)).Draw(t, "fault")),
		lasts:   span(t, 10*time.Second),
	}
}

// isolate cuts an owner off from the table service and from its peers. The peers
// become reachable first, possibly while they fence the owner.
func (m *machine) isolate(t *rapid.T) {
	m.w.endFaults()
	m.advance(t)
	i, _ := m.w.busiest()
	back := m.w.now + 3*time.Second + span(t, 4*time.Second)
	if rapid.Bool().Draw(t, "slow") {
		m.w.delayFencesUntil = back + 2*time.Second
	}
	m.w.places[i].storeCutUntil = back + span(t, 30*time.Second)
	for j, pl := range m.w.places {
		pl.peerCutUntil[i] = back
		m.w.places[i].peerCutUntil[j] = back
	}
	m.w.run(back - m.w.now)
}

// healBound is how long after the last fault every unit must have an owner: the
// longest extension of an exited owner's lease, measured by the slowest clock, and
// a few periods for the fence, the takeover and the reads between them.
func healBound(c Config) time.Duration {
	const periods = 12
	longest := c.HostTTL + c.MaxExtension + c.Margin
	return longest + longest/20 + periods*c.RenewEvery
}

// endFaults ends all faults, and starts the processes that are down, fenced or
// leaving.
func (w *world) endFaults() {
	w.store, w.peers, w.interruption, w.delayFencesUntil = networkFaults{}, networkFaults{}, nil, 0
	for i, pl := range w.places {
		pl.storeCutUntil, pl.writesLostUntil, pl.answersLostUntil = 0, 0, 0
		clear(pl.peerCutUntil)
		if p := pl.p; p != nil && (p.k.leaving || p.k.Fenced()) {
			w.kill(i)
		}
		w.boot(i, false)
		pl.p.resume()
	}
}

// heal ends all faults, and reports a violation when a unit has no owner within
// healBound.
func (w *world) heal() {
	w.endFaults()
	healed := w.now
	w.restartFenced()
	w.run(healBound(w.cfg))
	for _, u := range w.units {
		if w.oracle.ownedAt[u] <= healed {
			w.oracle.fail("unit %s has no owner %v after the last fault", u, w.now-healed)
		}
	}
}

// restartFenced restarts each fenced process once a second, as the platform does.
func (w *world) restartFenced() {
	for i, pl := range w.places {
		if pl.p != nil && pl.p.k.Fenced() {
			w.kill(i)
			w.boot(i, false)
		}
	}
	w.after(time.Second, w.restartFenced)
}
