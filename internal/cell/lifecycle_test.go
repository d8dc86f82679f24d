package cell_test

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestJobLifecycle plays jobs from acceptance to their end, with takeovers,
// lost and late calls, and workers that restart, are partitioned and leave.
func TestJobLifecycle(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		if violation := runSimulation(t, omitNothing, false); violation != "" {
			t.Fatal(violation)
		}
	})
}

// TestJobLifecycleWithoutFences does the same with workers that check no fencing
// token, so that they obey replaced owners too.
func TestJobLifecycleWithoutFences(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		if violation := runSimulation(t, omitNothing, true); violation != "" {
			t.Fatal(violation)
		}
	})
}

// TestReplacedOwnersExtendLeases lets replaced owners go on for almost as long as
// their successor allows for: no task may run twice by a lease that they extend.
func TestReplacedOwnersExtendLeases(t *testing.T) {
	t.Parallel()
	for _, unfenced := range []bool{false, true} {
		t.Run(fmt.Sprint("unfenced=", unfenced), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				w := newSimulation(t, omitNothing, unfenced)
				w.replacedOwnerLifetime = longestReplacedOwnerLifetime
				w.earlyStartsOff = true
				if violation := w.play(t); violation != "" {
					t.Fatal(violation)
				}
			})
		})
	}
}

// TestJobLifecycleDetectsOmittedGuards omits each guard once. If the oracle
// does not detect that, the other tests prove nothing.
func TestJobLifecycleDetectsOmittedGuards(t *testing.T) {
	t.Parallel()
	for _, omit := range []omittedGuard{omitDurable, omitAckDurable, omitFence, omitUncertainStart, omitWaveRecord, omitEarlyStart} {
		t.Run(strings.ReplaceAll(string(omit), " ", "-"), func(t *testing.T) {
			if !detected(t, omit) {
				t.Fatalf("no simulation detected that %s", omit)
			}
		})
	}
}

// detected runs simulations until the oracle finds a violation.
func detected(t *testing.T, omit omittedGuard, further ...simActions) bool {
	return detectedAs(t, "", omit, further...)
}

// detectedAs runs simulations until the oracle finds a violation whose message contains a
// text.
func detectedAs(t *testing.T, message string, omit omittedGuard, further ...simActions) bool {
	return detectedIn(t, message, rapid.Custom(func(t *rapid.T) string { return runSimulation(t, omit, false, further...) }))
}

// detectedIn plays simulations until the violation that one returns contains a text.
func detectedIn(t *testing.T, message string, play *rapid.Generator[string]) bool {
	const plays = 20000
	for seed := range plays {
		if violation := play.Example(seed); violation != "" && strings.Contains(violation, message) {
			t.Logf("seen in play %d: %.200s", seed+1, violation)
			return true
		}
	}
	return false
}

// simActions returns further actions of a simulation, by name.
type simActions func(*simulation) map[string]func(*rapid.T)

// runSimulation runs one simulation and returns the first violation of an
// invariant.
func runSimulation(t *rapid.T, omit omittedGuard, unfenced bool, further ...simActions) string {
	w := newSimulation(t, omit, unfenced)
	w.slow = rapid.Bool().Draw(t, "slow")
	return w.play(t, further...)
}

// play plays random actions with faults and returns the first violation of an invariant.
func (w *simulation) play(t *rapid.T, further ...simActions) string {
	return w.playActions(t, w.faultActions(), further...)
}

// playActions plays some random actions and returns the first violation of an invariant.
func (w *simulation) playActions(t *rapid.T, actions map[string]func(*rapid.T), further ...simActions) string {
	for _, f := range further {
		maps.Copy(actions, f(w))
	}
	t.Repeat(actions)
	if w.violation == "" {
		w.finishJobs()
	}
	return w.violation
}

// faultActions are the actions of a simulation with faults.
func (w *simulation) faultActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit":   func(*rapid.T) { w.submit() },
		"cancel":   func(*rapid.T) { w.cancel() },
		"hold":     func(*rapid.T) { w.anyHold() },
		"holdAll":  func(*rapid.T) { w.holdAll() },
		"deliver":  func(*rapid.T) { w.deliver() },
		"answer":   func(*rapid.T) { w.deliverAll() },
		"lose":     func(*rapid.T) { w.loseAnswer() },
		"delay":    func(*rapid.T) { w.delay() },
		"delays":   func(*rapid.T) { w.delayAll() },
		"commit":   func(*rapid.T) { w.commit() },
		"commit2":  func(*rapid.T) { w.commit() },
		"advance":  func(*rapid.T) { w.advance(w.drawDuration("advance", 10, 800)) },
		"long":     func(*rapid.T) { w.advance(w.drawDuration("long", 1000, 9000)) },
		"takeover": func(*rapid.T) { w.takeOver() },
		"failover": func(*rapid.T) { w.failOver() },
		"ended":    func(*rapid.T) { w.failOverEnded() },
		"stranded": func(*rapid.T) { w.failOverStranded() },
		"restart":  func(*rapid.T) { w.restart() },
		"cut":      func(*rapid.T) { w.cut() },
		"leave":    func(*rapid.T) { w.leave() },
		"slow":     func(*rapid.T) { w.slow = !w.slow && !w.earlyStartsOff },
		"limit":    func(*rapid.T) { w.startLimit = w.limit() },
		"wave":     func(*rapid.T) { w.announceWave() },
		"":         func(*rapid.T) { w.check() },
	}
}

// TestJobLifecycleWithoutFaults plays jobs without any fault: all members of a
// gang have to start in time, and no run may lose its lease.
func TestJobLifecycleWithoutFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, omitNothing, rapid.Bool().Draw(t, "unfenced"))
		w.slow = rapid.Bool().Draw(t, "slow")
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(*rapid.T) { w.submit() },
			"cancel": func(*rapid.T) { w.cancel() },
			"go on":  func(*rapid.T) { w.stepWithoutFaults() },
			"wave":   func(*rapid.T) { w.announceWave() },
			"":       func(*rapid.T) { w.check() },
		})
		if w.finishJobs(); w.violation != "" {
			t.Fatal(w.violation)
		}
		if w.incompleteGangMembers > 0 || w.expiredLeases > 0 {
			t.Fatalf("%d gang members timed out, %d runs lost their lease", w.incompleteGangMembers, w.expiredLeases)
		}
	})
}

func (w *simulation) drawDuration(label string, from, to int) time.Duration {
	return time.Duration(rapid.IntRange(from, to).Draw(w.t, label)) * time.Millisecond
}

func (w *simulation) check() {
	o := w.owner()
	for _, a := range w.jobs {
		w.checkShown(o, a.Job.ID)
	}
	for _, o := range w.owners {
		w.act(o)
	}
}

func (w *simulation) allEnded() bool { return w.open() == "" }

func (w *simulation) open() string {
	var open []string
	for i := range w.jobs {
		id := w.jobs[i].Job.ID
		w.checkShown(w.owner(), id)
		state, _ := w.owner().cell.Status(id)
		if !state.Final() && (!w.jobs[i].Job.LongRunning() || w.hasDeadlyTask(id)) {
			open = append(open, fmt.Sprintf("%s %s", id, state))
		}
	}
	for _, id := range w.lastingAway() {
		open = append(open, fmt.Sprintf("long-running task %s has no run", id))
	}
	for _, wave := range w.waves {
		if !w.wavesDone[wave.wave.Number] && len(wave.wave.Machines) > 0 {
			open = append(open, fmt.Sprintf("wave %d", wave.wave.Number))
		}
	}
	return strings.Join(open, ", ")
}
