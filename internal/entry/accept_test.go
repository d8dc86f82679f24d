package entry_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// isAccept reports whether a commit accepts a job.
func isAccept(c platform.Commit) bool { return strings.Contains(c.ID, "/accept/") }

// hookFirstAccept lets a hook see the first commit that accepts a job only.
func (w *fixture) hookFirstAccept(hook func(platform.Commit) (uint64, error)) {
	var done atomic.Bool
	w.table.commit = func(ctx context.Context, c platform.Commit) (uint64, error) {
		if !isAccept(c) || !done.CompareAndSwap(false, true) {
			return w.table.TableView.Commit(ctx, c)
		}
		return hook(c)
	}
}

func lostAnswer() (uint64, error) {
	return 0, fault.New("commit", platform.KindUnknown, "the answer was lost")
}

// A job whose acceptance took effect must run, though its answer was lost and
// its caller has gone.
func TestAcceptanceWithLostAnswerRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t)
		o := w.startOwner(lease.Gained{First: true, Clean: true})
		w.hookFirstAccept(func(c platform.Commit) (uint64, error) {
			if _, err := w.table.TableView.Commit(context.Background(), c); err != nil {
				t.Error(err)
			}
			return lostAnswer()
		})
		out := w.submit(o, batch("edition", 1, time.Minute), 50*time.Millisecond)
		if out.Outcome != message.OutcomeUnknown {
			t.Errorf("the caller was told %+v", out)
		}
		time.Sleep(10 * time.Second)
		if n := w.starts("edition"); n != 1 {
			t.Errorf("the job started %d times", n)
		}
	})
}

// A commit that takes effect long after its caller was told that the outcome is
// unknown must not make the job run twice, nor be forgotten.
func TestAcceptanceCommittedLate(t *testing.T) {
	for _, late := range []time.Duration{100 * time.Millisecond, time.Second, time.Minute} {
		t.Run(late.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(t)
				o := w.startOwner(lease.Gained{First: true, Clean: true})
				w.hookFirstAccept(func(c platform.Commit) (uint64, error) {
					time.AfterFunc(late, func() {
						_, _ = w.table.TableView.Commit(context.Background(), c) // A conflict is as good.
					})
					return lostAnswer()
				})
				w.submit(o, batch("edition", 1, time.Hour), 50*time.Millisecond)
				time.Sleep(2 * time.Minute)
				if n := w.starts("edition"); n != 1 {
					t.Errorf("the job started %d times", n)
				}
				if out := w.submit(o, batch("edition", 1, time.Hour), time.Minute); out.Outcome != message.OutcomeAnswered {
					t.Errorf("the repeat was told %+v", out)
				}
				time.Sleep(time.Minute)
				if n := w.starts("edition"); n != 1 {
					t.Errorf("the job started %d times after a repeat", n)
				}
			})
		})
	}
}

// What was refused as not run must not run, also when the unit changes hands
// while the commit is on its way.
func TestAcceptanceAfterTakeoverIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t)
		old := w.startOwner(lease.Gained{First: true, Clean: true})
		w.hookFirstAccept(func(c platform.Commit) (uint64, error) {
			time.AfterFunc(5*time.Second, func() {
				if _, err := w.table.TableView.Commit(context.Background(), c); err == nil {
					t.Error("a deposed owner's commit took effect")
				}
			})
			return lostAnswer()
		})
		answer := make(chan message.Submitted, 1)
		go func() { answer <- w.submit(old, batch("edition", 1, time.Minute), time.Minute) }()
		synctest.Wait()
		w.startOwner(lease.Gained{})
		if out := <-answer; out.Outcome != message.OutcomeNotRun {
			t.Errorf("the caller was told %+v", out)
		}
		time.Sleep(time.Minute)
		if _, ok := w.row("edition"); ok || w.starts("edition") != 0 {
			t.Error("a job that was refused was accepted")
		}
	})
}

// While no outcome is known, the number of submissions in doubt is bounded and
// the rest is refused.
func TestPendingSubmissionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t)
		o := w.startOwner(lease.Gained{First: true, Clean: true})
		time.Sleep(time.Second)
		w.d.Table.SetSilent(true)
		unknown, refused := 0, 0
		for n := range 1100 {
			out := w.submit(o, batch("edition-"+time.Duration(n).String(), 1, time.Second), time.Millisecond)
			switch out.Outcome {
			case message.OutcomeUnknown:
				unknown++
			case message.OutcomeNotRun:
				refused++
			default:
				t.Errorf("accepted by a silent table: %+v", out)
			}
		}
		if unknown != 1024 || refused != 76 {
			t.Errorf("%d in doubt and %d refused, not 1024 and 76", unknown, refused)
		}
		w.d.Table.SetSilent(false)
		time.Sleep(time.Minute)
		if f := w.d.Audit.Findings(); f.TasksInTwoPlaces > 0 {
			t.Errorf("%d tasks in two places", f.TasksInTwoPlaces)
		}
		if n := len(w.d.Journal.Tasks()); n != 1024 {
			t.Errorf("%d tasks started, not the 1024 in doubt", n)
		}
	})
}
