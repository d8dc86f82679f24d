package intake

import (
	"context"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// answer is how the scripted store ends one call.
type answer struct {
	kind rowstore.Kind
	// lands is set when the write takes effect all the same.
	lands bool
}

// scripted is a store whose calls end as told; afterwards all succeed.
type scripted struct {
	answers []answer
	rows    map[rowstore.Key][]byte
	calls   int
}

func (s *scripted) next() answer {
	s.calls++
	if len(s.answers) == 0 {
		return answer{lands: true}
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	return a
}

// Commit carries out one scripted answer.
func (s *scripted) Commit(_ context.Context, t rowstore.Transaction) (rowstore.Result, error) {
	a := s.next()
	if a.kind != "" && !a.lands {
		return rowstore.Result{}, fault.New("commit", a.kind, "scripted")
	}
	for _, c := range t.Conditions {
		if _, there := s.rows[c.Key]; there {
			return rowstore.Result{}, fault.New("commit", rowstore.KindConflict, "scripted")
		}
	}
	for _, w := range t.Writes {
		s.rows[w.Key] = w.Value
	}
	if a.kind != "" {
		return rowstore.Result{}, fault.New("commit", a.kind, "scripted")
	}
	return rowstore.Result{}, nil
}

// Read returns the rows that lie in the range.
func (s *scripted) Read(_ context.Context, r rowstore.Range) (rowstore.Snapshot, error) {
	if a := s.next(); a.kind != "" {
		return rowstore.Snapshot{}, fault.New("read", a.kind, "scripted")
	}
	var out rowstore.Snapshot
	for k, v := range s.rows {
		if k.Table == r.Table && k.Part == r.Part && k.Name >= r.From {
			out.Rows = append(out.Rows, rowstore.Row{Key: k, Value: v})
		}
	}
	return out, nil
}

func newScripted(answers ...answer) *scripted {
	return &scripted{answers: answers, rows: make(map[rowstore.Key][]byte)}
}

const jobID = workload.JobID("00000000000000a1")

func accepted() cell.AcceptedJob {
	step := workload.Step{Tasks: 1, Size: job.Size{MilliCores: 1000}}
	return cell.AcceptedJob{Job: workload.Job{ID: jobID, Steps: []workload.Step{step}}}
}

func TestSubmit(t *testing.T) {
	lost := answer{kind: rowstore.KindUnknown, lands: true}
	unknown := answer{kind: rowstore.KindUnknown}
	refused := answer{kind: rowstore.KindNotDone}
	for _, c := range []struct {
		name    string
		answers []answer
		kind    Kind
		there   bool
	}{
		{"answered", nil, "", true},
		{"turned away once", []answer{refused}, "", true},
		{"turned away again and again", []answer{refused, refused, refused, refused}, KindNotDone, false},
		{"carried out, the answer lost, the store silent", []answer{lost}, KindUnknown, true},
		{"no answer, then turned away", []answer{unknown, refused}, KindUnknown, false},
		{"no answer", []answer{unknown}, KindUnknown, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := newScripted(c.answers...)
			err := New(store, timer.NewSystem()).Submit(t.Context(), accepted())
			if c.kind == "" && err != nil || c.kind != "" && !fault.Is(err, c.kind) {
				t.Errorf("Submit gives %v; expected is kind %q", err, c.kind)
			}
			if _, there := store.rows[ledger.JobKey(jobID)]; there != c.there {
				t.Errorf("the row is there: %v", there)
			}
		})
	}
}

func TestARepeatedSubmissionIsAccepted(t *testing.T) {
	store := newScripted()
	in := New(store, timer.NewSystem())
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
	store := newScripted()
	in := New(store, timer.NewSystem())
	if err := in.Cancel(t.Context(), jobID); !fault.Is(err, KindMissing) {
		t.Errorf("the cancel of an unknown job gives %v", err)
	}
	if err := in.Submit(t.Context(), accepted()); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := in.Cancel(t.Context(), jobID); err != nil {
			t.Errorf("a cancel gives %v", err)
		}
	}
}

// A silent store takes no request whose outcome nobody could tell, until a
// probe was answered. One that turns calls away is tried now and then.
func TestHealth(t *testing.T) {
	now := time.Unix(0, 0)
	h := newHealth()
	call := h.begin(now)
	if h.away(now.Add(awayAfter)) {
		t.Error("away while a call is still in its time")
	}
	if !h.away(now.Add(awayAfter+time.Millisecond)) && !h.away(now.Add(awayAfter+2*time.Millisecond)) {
		t.Error("not away although a call is open for long")
	}
	h.end(call, unanswered)
	for i := range 5 {
		if !h.away(now.Add(time.Duration(i) * time.Second)) {
			t.Error("a silent store is tried by a request")
		}
	}
	h.end(h.begin(now), answered)
	if h.away(now) {
		t.Error("away after an answer")
	}
	for range refusedAfter {
		h.end(h.begin(now), turnedAway)
	}
	later := now.Add(time.Minute)
	if h.away(later) {
		t.Error("a store that turns calls away is not tried")
	}
	if !h.away(later.Add(time.Millisecond)) {
		t.Error("a store that turns calls away is tried by every request")
	}
}
