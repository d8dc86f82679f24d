package lease

import (
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// settledWorld returns a world in which every unit has found its owner.
func settledWorld(t *testing.T, hosts int) *world {
	t.Helper()
	w := newWorld(hosts, 1, omitNothing)
	w.run(20 * time.Second)
	for _, u := range worldUnits {
		if w.oracle.ownedAt[u] < w.now-time.Second {
			t.Fatalf("unit %s has no owner after %v", u, w.now)
		}
	}
	return w
}

// TestReadBackKeepsOtherRows reads one row back to learn the outcome of a renewal
// when the next full list is due. The view must keep all other rows, and the next
// list must still be a full one.
func TestReadBackKeepsOtherRows(t *testing.T) {
	w := settledWorld(t, 3)
	p := w.places[0].p
	hosts, units := len(p.k.hosts), len(p.k.units)
	row := w.table.rows[HostKey(worldDataCentre, p.id)]
	row.Version = w.table.version + 1
	p.k.listedVersion, p.k.readingBack = 0, true
	p.k.pending = &pendingCommit{id: "another write", purpose: purposeRenew, key: row.Key}
	p.k.RowRead(row, true, p.clock())
	if p.k.Fenced() || len(p.k.hosts) != hosts || len(p.k.units) != units {
		t.Fatalf("fenced %v; the view has %d of %d hosts and %d of %d units",
			p.k.Fenced(), len(p.k.hosts), hosts, len(p.k.units), units)
	}
	if p.k.listedVersion != 0 {
		t.Fatalf("the next list would leave out the rows up to version %d", p.k.listedVersion)
	}
}

// TestLateTakeoverGainsNothingAfterLeave makes a takeover of unknown outcome take
// effect just before the host is marked as left. The host must not act on those
// units, since any peer may take over the units of a host that has left.
func TestLateTakeoverGainsNothingAfterLeave(t *testing.T) {
	w := newWorld(1, 1, omitNothing)
	w.interruption = &interruption{purpose: purposeTakeOver, fault: delayCommit, lasts: 2800 * time.Millisecond}
	w.run(1500 * time.Millisecond)
	w.interruption = &interruption{purpose: purposeLeave, fault: delayCommit, lasts: time.Second}
	p := w.places[0].p
	p.k.Leave()
	left := false
	for w.now < 10*time.Second {
		w.run(100 * time.Millisecond)
		left = left || p.k.Left()
		for u, g := range p.authority.Held {
			if left && p.authority.MayAct(u, g.Epoch, p.latest()) == nil {
				t.Fatalf("at %v the host has left and may still act on %s", w.now, u)
			}
		}
	}
	if taken := len(w.oracle.epochs); !left || taken == 0 || w.oracle.violation != "" {
		t.Fatalf("left %v, %d units taken over, %s", left, taken, w.oracle.violation)
	}
}

// TestUnjournaledFlagReachesEverySuccessor kills one owner after another after the
// first owner may have started unjournaled work. A grantor that started after the
// owner had announced this must know of it too.
func TestUnjournaledFlagReachesEverySuccessor(t *testing.T) {
	w := settledWorld(t, 2)
	p := w.places[0].p
	if len(p.k.held) == 0 {
		t.Fatal("the first host holds no units")
	}
	p.k.SetUnjournaled(true)
	w.run(3 * time.Second)
	if !p.unjournaled {
		t.Fatal("the host may not start unjournaled work although its grantors know of it")
	}
	var units []Unit
	for u := range p.k.held {
		units = append(units, u)
	}
	// The new grantor gets no message from the host and reads it from its row.
	w.places[0].peerCutUntil[1] = time.Hour
	w.kill(1)
	w.boot(1, false)
	w.run(12 * time.Second)
	for _, victim := range []int{0, 1} {
		w.kill(victim)
		w.run(12 * time.Second)
		w.boot(victim, false)
		for _, u := range units {
			row, err := DecodeUnit(UnitKey(worldDataCentre, u), w.table.rows[UnitKey(worldDataCentre, u)].Value)
			if err != nil {
				t.Fatal(err)
			}
			if !row.Unjournaled && !row.Clean {
				t.Fatalf("unit %s went from %s to %s without the flag for unjournaled work", u, row.Predecessor, row.Owner)
			}
		}
	}
	if w.oracle.violation != "" {
		t.Fatal(w.oracle.violation)
	}
}

// TestMalformedRowsChangeNothing lists malformed rows. Each must be reported and
// none may change the view.
func TestMalformedRowsChangeNothing(t *testing.T) {
	w := settledWorld(t, 2)
	p := w.places[0].p
	hosts := len(p.k.hosts)
	rows := []platform.Row{
		{Key: HostKey(worldDataCentre, "x"), Version: w.table.version + 1, Value: []byte(`{"Incarnation":`)},
		{Key: UnitKey(worldDataCentre, "pool"), Version: w.table.version + 1, Value: []byte(`{"Unit":"keys-0","Epoch":9}`)},
	}
	held := len(p.k.Held())
	actions, faults := p.k.Listed(p.k.listedVersion, rows, p.clock())
	if len(faults) != len(rows) || len(actions) != 0 || len(p.k.hosts) != hosts || len(p.k.Held()) != held {
		t.Fatalf("faults %v, actions %v", faults, actions)
	}
}

// TestRefusedStepWaitsForTheNextPeriod makes every takeover fail immediately. The
// keeper must not retry it before the next period.
func TestRefusedStepWaitsForTheNextPeriod(t *testing.T) {
	for name, outcome := range map[string]Outcome{"conflict": OutcomeConflict, "not run": OutcomeNotRun} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 1, omitNothing)
			p := w.places[0].p
			for w.now < time.Second && (p.k.pending == nil || p.k.pending.purpose != purposeTakeOver) {
				w.run(time.Millisecond)
			}
			takes := 0
			for range 100 {
				if p.k.pending != nil && p.k.pending.purpose == purposeTakeOver {
					takes++
					p.k.Committed(p.k.pending.id, outcome, 0, p.clock())
				}
				p.k.Tick(p.clock(), p.latest())
			}
			if takes != 1 {
				t.Fatalf("%d takeovers were sent within one period", takes)
			}
		})
	}
}
