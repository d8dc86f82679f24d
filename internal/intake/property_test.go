package intake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// faultyStore is the store as one host reaches it. It loses calls and answers, and carries
// out some commits seconds later.
type faultyStore struct {
	*sharedRows
	// random draws what becomes of calls; nil if all are answered.
	random *rand.Rand
}

// sharedRows are the rows of the store.
type sharedRows struct {
	mu   sync.Mutex
	rows *scriptedStore
}

// spec returns that of the job with an ID; empty if there is none.
func (s *sharedRows) spec(id workload.JobID) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, _ := ledger.DecodeJob(s.rows.rows[ledger.JobKey(id)].Value)
	return a.Job.Spec
}

// longestDelay is the longest time after which a commit is carried out.
const longestDelay = 6 * time.Second

// fate is what becomes of a call.
type fate struct {
	takes, late time.Duration
	lost        bool
	kind        rowstore.Kind
}

func (s *faultyStore) fate() fate {
	if s.random == nil {
		return fate{}
	}
	f := fate{takes: time.Duration(s.random.IntN(60_000)) * time.Microsecond}
	switch s.random.IntN(6) {
	case 0:
		f.kind = rowstore.KindNotDone
	case 1:
		f.kind, f.lost = rowstore.KindUnknown, true
	case 2:
		f.kind, f.late = rowstore.KindUnknown, time.Duration(s.random.Int64N(int64(longestDelay)))
	}
	return f
}

// Commit applies a transaction at once, late or never.
func (s *faultyStore) Commit(ctx context.Context, t rowstore.Transaction) (rowstore.Result, error) {
	f := s.fate()
	time.Sleep(f.takes)
	apply := func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.rows.apply(t)
	}
	switch {
	case f.kind == "":
		return rowstore.Result{}, apply()
	case f.late > 0:
		time.AfterFunc(f.late, func() { _ = apply() })
	case f.lost:
		_ = apply()
	}
	if f.kind == rowstore.KindUnknown {
		<-ctx.Done()
	}
	return rowstore.Result{}, fault.New("commit", f.kind, "drawn")
}

// Read returns the rows of a range.
func (s *faultyStore) Read(ctx context.Context, r rowstore.Range) (rowstore.Snapshot, error) {
	f := s.fate()
	time.Sleep(f.takes)
	if f.kind != "" {
		return rowstore.Snapshot{}, fault.New("read", f.kind, "drawn")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows.Read(ctx, r)
}

// request is a submission or a cancel of a client, and how it was answered.
type request struct {
	id     workload.JobID
	client manifest.JobScope
	cancel bool
	// spec identifies the job of a submission.
	spec     string
	answered bool
	err      error
}

func (r *request) is(kind Kind) bool { return r.answered && fault.Is(r.err, kind) }

// run makes the request at a host.
func (r *request) run(in *Intake) {
	const patience = 900 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if r.cancel {
		r.err = in.Cancel(ctx, r.client, r.id)
	} else {
		a := cell.AcceptedJob{Job: workload.Job{ID: r.id, Queue: r.client.Queue, Spec: r.spec, Steps: accepted().Job.Steps}}
		a.Queue, a.Account = manifest.Queue{Name: r.client.Queue}, manifest.Terms{Name: r.client.Account}
		r.err = in.Submit(ctx, a)
	}
	r.answered = true
}

// violation returns which promise to the client is broken, given the rows at the end.
func (r *request) violation(found jobRows, spec string) string {
	mine := found.In(r.client)
	switch {
	case r.cancel && (r.err == nil || r.is(KindNoJob)) && mine && !found.Cancelled:
		return "a job exists whose cancel was answered"
	case r.cancel && r.err == nil && !mine:
		return "a job that was cancelled does not exist"
	case !r.cancel && r.err == nil && !mine:
		return "a job that was accepted does not exist"
	case !r.cancel && r.err != nil && !r.is(KindUnknown) && found.Known && spec == r.spec:
		return "a job exists that was refused"
	}
	return ""
}

// TestRequestsKeepTheirPromises makes submissions and cancels of a few IDs by several
// clients at several hosts, while the store loses calls and answers and carries out commits
// late. No job may exist whose cancel was answered, and no client may affect another's job.
func TestRequestsKeepTheirPromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		broken := ""
		synctest.Test(t, func(*testing.T) { broken = playRequests(rt) })
		if broken != "" {
			rt.Fatal(broken)
		}
	})
}

func playRequests(t *rapid.T) string {
	store := &sharedRows{rows: newScriptedStore()}
	var requests []*request
	var running sync.WaitGroup
	add := func(t *rapid.T, cancel bool) {
		r := &request{
			id: workload.JobID(fmt.Sprintf("%016x", rapid.IntRange(1, 3).Draw(t, "job"))), cancel: cancel, spec: fmt.Sprint(len(requests)),
			client: manifest.JobScope{
				Queue:   rapid.SampledFrom([]string{ownQueue, otherQueue}).Draw(t, "queue"),
				Account: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"), HasAccounts: true,
			},
		}
		requests = append(requests, r)
		// Each request has a host of its own, whose earlier calls say nothing of the store.
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "fates"), 0))
		running.Go(func() { r.run(newIntake(&faultyStore{store, random})) })
	}
	t.Repeat(map[string]func(*rapid.T){
		"submit": func(t *rapid.T) { add(t, false) },
		"cancel": func(t *rapid.T) { add(t, true) },
		"wait":   func(t *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond) },
	})
	running.Wait()
	time.Sleep(longestDelay)
	for _, r := range requests {
		found, err := newIntake(&faultyStore{sharedRows: store}).lookUp(context.Background(), r.id)
		if err != nil {
			return err.Error()
		}
		broken := r.violation(found, store.spec(r.id))
		mayBeCancelled := slices.ContainsFunc(requests, func(o *request) bool { return o.cancel && o.id == r.id && o.client == r.client })
		if !mayBeCancelled && (r.is(KindCancelled) || found.In(r.client) && found.Cancelled) {
			broken = "another client has cancelled the job"
		}
		if broken != "" {
			return fmt.Sprintf("%s: %+v, found %+v", broken, *r, found)
		}
	}
	return ""
}
