package intake

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// answer is how the scripted store answers one call.
type answer struct {
	kind rowstore.Kind
	// applied is set when the write takes effect despite the error, and late if it does
	// so only when commitLate is called, if its conditions hold then.
	applied bool
	late    bool
	// after is how long the call takes.
	after time.Duration
}

// scriptedStore answers its calls from a list. After the end of the list all
// calls succeed.
type scriptedStore struct {
	answers []answer
	rows    map[rowstore.Key]rowstore.Row
	version uint64
	calls   int
	late    []rowstore.Transaction
}

func (s *scriptedStore) next() answer {
	s.calls++
	if len(s.answers) == 0 {
		return answer{applied: true}
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	time.Sleep(a.after)
	return a
}

// Commit applies a transaction, or fails, as the next answer says.
func (s *scriptedStore) Commit(_ context.Context, t rowstore.Transaction) (rowstore.Result, error) {
	a := s.next()
	if a.late {
		s.late = append(s.late, t)
	}
	if a.kind != "" && !a.applied {
		return rowstore.Result{}, fault.New("commit", a.kind, "scripted")
	}
	if err := s.apply(t); err != nil {
		return rowstore.Result{}, err
	}
	if a.kind != "" {
		return rowstore.Result{}, fault.New("commit", a.kind, "scripted")
	}
	return rowstore.Result{Version: s.version}, nil
}

// apply applies a transaction if its conditions hold.
func (s *scriptedStore) apply(t rowstore.Transaction) error {
	failed := false
	var current []rowstore.Row
	for _, c := range t.Conditions {
		row, there := s.rows[c.Key]
		if there {
			current = append(current, row)
		}
		failed = failed || row.Version != c.Version
	}
	if failed {
		return fault.New("commit", rowstore.KindConflict, "%w", &rowstore.ConflictError{Rows: current})
	}
	s.version++
	for _, w := range t.Writes {
		s.rows[w.Key] = rowstore.Row{Key: w.Key, Value: w.Value, Version: s.version}
	}
	for _, key := range t.Deletes {
		delete(s.rows, key)
	}
	return nil
}

// commitLate applies the transactions that are carried out late, as far as their
// conditions hold.
func (s *scriptedStore) commitLate() {
	for _, t := range s.late {
		_ = s.apply(t)
	}
	s.late = nil
}

// Read returns the rows of a range, or fails as the next answer says.
func (s *scriptedStore) Read(_ context.Context, r rowstore.Range) (rowstore.Snapshot, error) {
	if a := s.next(); a.kind != "" {
		return rowstore.Snapshot{}, fault.New("read", a.kind, "scripted")
	}
	var out rowstore.Snapshot
	for k, row := range s.rows {
		if k.Table == r.Table && k.Partition == r.Partition && k.Name >= r.From {
			out.Rows = append(out.Rows, row)
		}
	}
	return out, nil
}

func newScriptedStore(answers ...answer) *scriptedStore {
	return &scriptedStore{answers: answers, rows: make(map[rowstore.Key]rowstore.Row)}
}

func newIntake(store Store) *Intake {
	const tombstonesPerSecond = 10
	return New(store, timer.NewSystem(), func() float64 { return tombstonesPerSecond }, tally.NoopScope)
}

const (
	ownQueue   = "own"
	otherQueue = "other"
)

const jobID = workload.JobID("00000000000000a1")

var ownScope = manifest.JobScope{Queue: ownQueue}

func accepted() cell.AcceptedJob {
	step := workload.Step{Tasks: 1, Size: job.Size{MilliCores: 1000}}
	return cell.AcceptedJob{
		Job: workload.Job{ID: jobID, Queue: ownQueue, Steps: []workload.Step{step}}, Queue: manifest.Queue{Name: ownQueue},
	}
}

func TestSubmit(t *testing.T) {
	lost := answer{kind: rowstore.KindUnknown, applied: true}
	broken := answer{kind: rowstore.KindUnknown}
	silent := answer{kind: rowstore.KindUnknown, after: callTimeout}
	rejected := answer{kind: rowstore.KindNotDone}
	for _, c := range []struct {
		name    string
		answers []answer
		kind    Kind
		there   bool
	}{
		{"answered", nil, "", true},
		{"rejected once", []answer{rejected}, "", true},
		{"rejected on every attempt", []answer{rejected, rejected, rejected, rejected}, KindNotDone, false},
		{"applied, but the answer is lost", []answer{lost}, "", true},
		{"broken, then rejected", []answer{broken, rejected}, "", true},
		{"broken, then rejected four times", []answer{broken, rejected, rejected, rejected, rejected}, "", true},
		{"broken until the client gives up", slices.Repeat([]answer{broken}, 100), KindUnknown, false},
		{"no answer, then rejected", []answer{silent, rejected}, KindUnknown, false},
		{"no answer", []answer{silent}, KindUnknown, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				store := newScriptedStore(c.answers...)
				err := newIntake(store).Submit(ctx, accepted())
				if c.kind == "" && err != nil || c.kind != "" && !fault.Is(err, c.kind) {
					t.Errorf("Submit gives %v; want kind %q", err, c.kind)
				}
				if _, there := store.rows[ledger.JobKey(jobID)]; there != c.there {
					t.Errorf("the row exists: %v", there)
				}
			})
		})
	}
}

// A store that breaks some connections must not cost the requests that are on their way,
// and one that breaks all of them must not keep later clients waiting for an outcome.
func TestSubmitToAStoreThatBreaksConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken := answer{kind: rowstore.KindUnknown}
		in := newIntake(newScriptedStore(slices.Repeat([]answer{broken}, failureLimit)...))
		if err := in.Submit(t.Context(), accepted()); err != nil {
			t.Errorf("a submission whose first calls broke gives %v", err)
		}
		in = newIntake(newScriptedStore(slices.Repeat([]answer{broken}, 100)...))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := in.Submit(ctx, accepted()); !fault.Is(err, KindUnknown) {
			t.Errorf("a submission whose calls all broke gives %v", err)
		}
		_ = in.StoreUnavailable() // one request is sent as a trial
		if !in.StoreUnavailable() {
			t.Error("the store counts as available")
		}
	})
}

// A call that the store answers as invalid must not make the store count as
// unavailable, which would refuse the requests of all clients.
func TestAnInvalidCallLeavesTheStoreAvailable(t *testing.T) {
	in := newIntake(newScriptedStore(answer{kind: rowstore.KindInvalid}))
	if err := in.Submit(t.Context(), accepted()); !fault.Is(err, KindNotDone) {
		t.Errorf("an invalid submission gives %v", err)
	}
	if in.StoreUnavailable() {
		t.Error("the store counts as unavailable")
	}
}

func TestRepeatedSubmissionIsAccepted(t *testing.T) {
	store := newScriptedStore()
	in := newIntake(store)
	for range 2 {
		if err := in.Submit(t.Context(), accepted()); err != nil {
			t.Fatal(err)
		}
	}
	if len(store.rows) != 1 {
		t.Errorf("%d rows", len(store.rows))
	}
}

func TestCancel(t *testing.T) {
	in := newIntake(newScriptedStore())
	if err := in.Submit(t.Context(), accepted()); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := in.Cancel(t.Context(), ownScope, jobID); err != nil {
			t.Errorf("a cancel gives %v", err)
		}
	}
}

// The client of another queue must not learn from a submission, a cancel or a lookup
// that a job has this ID, nor change the job.
func TestJobsOfOtherQueuesAreHidden(t *testing.T) {
	store := newScriptedStore()
	in := newIntake(store)
	if err := in.Submit(t.Context(), accepted()); err != nil {
		t.Fatal(err)
	}
	foreign := accepted()
	foreign.Job.Queue, foreign.Queue.Name = otherQueue, otherQueue
	if err := in.Submit(t.Context(), foreign); !fault.Is(err, KindTaken) {
		t.Errorf("a submission under the ID of a job of another queue gives %v", err)
	}
	if err := in.Cancel(t.Context(), manifest.JobScope{Queue: otherQueue}, jobID); !fault.Is(err, KindNoJob) {
		t.Errorf("the cancel of a job of another queue gives %v", err)
	}
	found, err := in.Find(t.Context(), jobID)
	if err != nil || found.Cancelled || found.In(manifest.JobScope{Queue: otherQueue}) || !found.In(manifest.JobScope{Queue: ownQueue}) {
		t.Errorf("found %+v, %v", found, err)
	}
}

// TestStoreHealth checks that, while a call is overdue and once one has had no
// answer, no request is sent to the store until a probe has been answered, since the
// outcome of the request would be unknown. A store that rejects calls gets one request
// per trialInterval as a trial.
func TestStoreHealth(t *testing.T) {
	now := time.Unix(0, 0)
	h := newStoreHealth()
	call := h.begin(now)
	if h.unavailable(now.Add(unavailableAfter)) {
		t.Error("unavailable although no call is overdue")
	}
	for i := range 2 {
		if !h.unavailable(now.Add(unavailableAfter + time.Duration(i+1)*time.Millisecond)) {
			t.Errorf("request %d is sent to a store with an overdue call", i+1)
		}
	}
	h.end(now, call, noAnswer)
	for i := range 5 {
		if !h.unavailable(now.Add(time.Duration(i) * time.Second)) {
			t.Error("a store that does not answer is tested with a request")
		}
	}
	h.end(now, h.begin(now), answered)
	if h.unavailable(now) {
		t.Error("unavailable after an answer")
	}
	for range failureLimit {
		h.end(now, h.begin(now), rejected)
	}
	later := now.Add(time.Minute)
	if h.unavailable(later) {
		t.Error("a store that rejects calls is not tested")
	}
	if !h.unavailable(later.Add(time.Millisecond)) {
		t.Error("a store that rejects calls is tested with every request")
	}
}

// A call that was sent before the store came back and never gets an answer must not make
// the store count as unavailable again.
func TestCallsOfAnOutageDoNotCountAfterIt(t *testing.T) {
	now := time.Unix(0, 0)
	h := newStoreHealth()
	first, second := h.begin(now), h.begin(now)
	h.end(now, first, noAnswer)
	now = now.Add(time.Minute)
	h.end(now, h.begin(now), answered)
	if h.unavailable(now) {
		t.Error("unavailable because of a pending call from before the answer")
	}
	h.end(now, second, noAnswer)
	if h.unavailable(now) {
		t.Error("unavailable because of a call from before the answer that had none")
	}
}

// On a store that is slow for all, a second write of the same row waits behind the first
// one in its partition, so that hosts must not take the delay for a failure.
func TestSlowAfterFollowsTheLatencyOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newScriptedStore()
		in := newIntake(store)
		submit := func(id workload.JobID, took time.Duration) {
			store.answers = []answer{{applied: true, after: took}}
			a := accepted()
			a.Job.ID = id
			if err := in.Submit(t.Context(), a); err != nil {
				t.Fatal(err)
			}
		}
		submit("00000000000000a1", 700*time.Millisecond)
		if slow := in.SlowAfter(); slow != slowFactor*700*time.Millisecond {
			t.Errorf("slow after %v while calls take 0.7 s", slow)
		}
		submit("00000000000000a2", 1900*time.Millisecond)
		if store.calls != 2 {
			t.Errorf("%d calls for two submissions", store.calls)
		}
		for i := range 12 {
			submit(workload.JobID(fmt.Sprintf("00000000000000b%x", i)), 10*time.Millisecond)
		}
		if slow := in.SlowAfter(); slow > callTimeout/4 {
			t.Errorf("slow after %v although twelve calls took 10 ms", slow)
		}
	})
}

// The client of another account, or of none, must not learn from a submission, a cancel or a
// lookup that a job has this ID, nor change the job. A job without an account, as those of
// earlier releases are, is one of all clients of its queue.
func TestJobsOfOtherAccountsAreHidden(t *testing.T) {
	scopeOf := func(account string) manifest.JobScope {
		return manifest.JobScope{Queue: ownQueue, Account: account, HasAccounts: true}
	}
	for _, c := range []struct {
		account string
		scope   manifest.JobScope
		visible bool
	}{
		{"a", scopeOf("a"), true},
		{"a", scopeOf("b"), false},
		{"a", scopeOf(""), false},
		{"a", manifest.JobScope{Queue: ownQueue}, true},
		{"a", manifest.JobScope{Queue: otherQueue, Account: "a", HasAccounts: true}, false},
		{"", scopeOf("b"), true},
		{"", scopeOf(""), true},
		{"", manifest.JobScope{Queue: ownQueue}, true},
	} {
		in := newIntake(newScriptedStore())
		job := accepted()
		job.Account = manifest.Terms{Name: c.account, Weight: 1}
		if err := in.Submit(t.Context(), job); err != nil {
			t.Fatal(err)
		}
		found, err := in.Find(t.Context(), jobID)
		if err != nil || found.Account != c.account || found.In(c.scope) != c.visible {
			t.Errorf("%+v: found %+v, %v", c, found, err)
		}
		if c.scope.HasAccounts && c.scope.Queue == ownQueue {
			again := accepted()
			again.Account = manifest.Terms{Name: c.scope.Account, Weight: 2}
			if err := in.Submit(t.Context(), again); (err == nil) != c.visible || err != nil && !fault.Is(err, KindTaken) {
				t.Errorf("%+v: a submission under the ID gives %v", c, err)
			}
		}
		if err := in.Cancel(t.Context(), c.scope, jobID); (err == nil) != c.visible || err != nil && !fault.Is(err, KindNoJob) {
			t.Errorf("%+v: a cancel gives %v", c, err)
		}
		if found, err := in.Find(t.Context(), jobID); err != nil || found.Cancelled != c.visible {
			t.Errorf("%+v: found %+v, %v", c, found, err)
		}
	}
}

// hangingStore answers no commit before the caller gives up.
type hangingStore struct {
	Store
	// kind is the kind of error of a commit that was given up.
	kind rowstore.Kind
}

// Commit fails when ctx ends.
func (s *hangingStore) Commit(ctx context.Context, _ rowstore.Transaction) (rowstore.Result, error) {
	<-ctx.Done()
	return rowstore.Result{}, fault.New("commit", s.kind, "%w", ctx.Err())
}

// A client that disconnects or whose deadline is short says nothing about the store. If its
// call counted as unanswered, one such client could make its host refuse the requests of all
// others. A call that the store has not answered for long counts, although it ends early
// because the owner has made the write meanwhile.
func TestClientThatGivesUpLeavesTheStoreAvailable(t *testing.T) {
	for _, c := range []struct {
		name        string
		after       time.Duration
		kind        rowstore.Kind
		want        Kind
		unavailable bool
	}{
		{"before the call is sent", 0, rowstore.KindNotDone, KindNotDone, false},
		{"soon", 60 * time.Millisecond, rowstore.KindUnknown, KindUnknown, false},
		{"late", 350 * time.Millisecond, rowstore.KindUnknown, KindUnknown, true},
	} {
		for _, deadline := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, deadline %v", c.name, deadline), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					in := newIntake(&hangingStore{kind: c.kind})
					for range failureLimit {
						begin := context.WithCancel
						if deadline {
							begin = func(parent context.Context) (context.Context, context.CancelFunc) {
								return context.WithTimeout(parent, c.after)
							}
						}
						ctx, cancel := begin(t.Context())
						time.AfterFunc(c.after, cancel)
						if err := in.Submit(ctx, accepted()); !fault.Is(err, c.want) {
							t.Errorf("a submission that is given up gives %v", err)
						}
						cancel()
					}
					_ = in.StoreUnavailable() // one request is sent as a trial
					if got := in.StoreUnavailable(); got != c.unavailable {
						t.Errorf("the store counts as unavailable: %v", got)
					}
				})
			})
		}
	}
}

// The latency of a store that was slow long ago must not delay the request to the owner for
// a write that the store does not answer now.
func TestLatencyOfLongAgoIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newIntake(newScriptedStore(answer{applied: true, after: time.Second}))
		if err := in.Submit(t.Context(), accepted()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		if slow := in.SlowAfter(); slow != 0 {
			t.Errorf("slow after %v, one minute after the only call", slow)
		}
		if _, err := in.Find(t.Context(), jobID); err != nil {
			t.Fatal(err)
		}
		if slow := in.SlowAfter(); slow != 0 {
			t.Errorf("slow after %v, although the only recent call was answered at once", slow)
		}
	})
}

// The check of whether to probe the store must neither use up the trial of a request nor
// leave out a probe: both would prolong an outage for the clients of a host.
func TestProbingLeavesTheTrialToARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newIntake(newScriptedStore(slices.Repeat([]answer{{kind: rowstore.KindNotDone}}, maxAttempts)...))
		if err := in.Submit(t.Context(), accepted()); !fault.Is(err, KindNotDone) {
			t.Fatalf("a rejected submission gives %v", err)
		}
		time.Sleep(trialInterval)
		for range 2 {
			if !in.NeedsProbe() {
				t.Error("a store that rejects calls is not probed")
			}
		}
		if in.StoreUnavailable() {
			t.Error("no request is sent as a trial")
		}
		in.Probe(t.Context())
		if in.NeedsProbe() {
			t.Error("a store that has answered is probed")
		}
	})
}
