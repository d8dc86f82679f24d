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

// hookFirstAccept passes only the first commit that accepts a job to the hook.
func (fx *fixture) hookFirstAccept(hook func(platform.Commit) (uint64, error)) {
	var done atomic.Bool
	fx.table.commit = func(ctx context.Context, c platform.Commit) (uint64, error) {
		if !isAccept(c) || !done.CompareAndSwap(false, true) {
			return fx.table.TableView.Commit(ctx, c)
		}
		return hook(c)
	}
}

func lostAnswer() (uint64, error) {
	return 0, fault.New("commit", platform.KindUnknown, "the response was lost")
}

// A job whose acceptance took effect must run, even if the response was lost and
// the caller has gone.
func TestAcceptanceWithLostAnswerRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t)
		o := fx.startOwner(lease.Gained{First: true, Clean: true})
		fx.hookFirstAccept(func(c platform.Commit) (uint64, error) {
			if _, err := fx.table.TableView.Commit(context.Background(), c); err != nil {
				t.Error(err)
			}
			return lostAnswer()
		})
		out := fx.submit(o, batch("edition", 1, time.Minute), 50*time.Millisecond)
		if out.Outcome != message.OutcomeUnknown {
			t.Errorf("the caller got %+v", out)
		}
		time.Sleep(10 * time.Second)
		if n := fx.starts("edition"); n != 1 {
			t.Errorf("the job started %d times", n)
		}
	})
}

// A commit that takes effect long after its caller got an unknown outcome must
// neither make the job run twice nor be ignored.
func TestAcceptanceCommittedLate(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, time.Second, time.Minute} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t)
				o := fx.startOwner(lease.Gained{First: true, Clean: true})
				fx.hookFirstAccept(func(c platform.Commit) (uint64, error) {
					time.AfterFunc(delay, func() {
						_, _ = fx.table.TableView.Commit(context.Background(), c) // A conflict is fine, too.
					})
					return lostAnswer()
				})
				fx.submit(o, batch("edition", 1, time.Hour), 50*time.Millisecond)
				time.Sleep(2 * time.Minute)
				if n := fx.starts("edition"); n != 1 {
					t.Errorf("the job started %d times", n)
				}
				if out := fx.submit(o, batch("edition", 1, time.Hour), time.Minute); out.Outcome != message.OutcomeAnswered {
					t.Errorf("the repeat got %+v", out)
				}
				time.Sleep(time.Minute)
				if n := fx.starts("edition"); n != 1 {
					t.Errorf("the job started %d times after a repeat", n)
				}
			})
		})
	}
}

// A job that was refused as not run must not run, even if another owner takes the
// unit over while the commit is in progress.
func TestAcceptanceAfterTakeoverIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t)
		old := fx.startOwner(lease.Gained{First: true, Clean: true})
		fx.hookFirstAccept(func(c platform.Commit) (uint64, error) {
			time.AfterFunc(5*time.Second, func() {
				if _, err := fx.table.TableView.Commit(context.Background(), c); err == nil {
					t.Error("a deposed owner's commit took effect")
				}
			})
			return lostAnswer()
		})
		answer := make(chan message.Submitted, 1)
		go func() { answer <- fx.submit(old, batch("edition", 1, time.Minute), time.Minute) }()
		synctest.Wait()
		fx.startOwner(lease.Gained{})
		if out := <-answer; out.Outcome != message.OutcomeNotRun {
			t.Errorf("the caller got %+v", out)
		}
		time.Sleep(time.Minute)
		if _, ok := fx.row("edition"); ok || fx.starts("edition") != 0 {
			t.Error("a job that was refused was accepted")
		}
	})
}

// While the table does not respond, the number of submissions with an unknown
// outcome is limited and further submissions are refused.
func TestPendingSubmissionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t)
		o := fx.startOwner(lease.Gained{First: true, Clean: true})
		time.Sleep(time.Second)
		fx.d.Table.SetSilent(true)
		unknown, refused := 0, 0
		for n := range 1100 {
			out := fx.submit(o, batch("edition-"+time.Duration(n).String(), 1, time.Second), time.Millisecond)
			switch out.Outcome {
			case message.OutcomeUnknown:
				unknown++
			case message.OutcomeNotRun:
				refused++
			default:
				t.Errorf("outcome while the table does not respond: %+v", out)
			}
		}
		if unknown != 1024 || refused != 76 {
			t.Errorf("%d unknown and %d refused; want 1024 and 76", unknown, refused)
		}
		fx.d.Table.SetSilent(false)
		time.Sleep(time.Minute)
		if f := fx.d.Audit.Findings(); f.TasksInTwoPlaces > 0 {
			t.Errorf("%d tasks in two places", f.TasksInTwoPlaces)
		}
		if n := len(fx.d.Journal.Tasks()); n != 1024 {
			t.Errorf("%d tasks started; want the 1024 with an unknown outcome", n)
		}
	})
}
