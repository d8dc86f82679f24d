package owner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// lossyPlatform is a platform whose store checks conditions, loses calls and answers, and
// carries out some commits late, and whose workers check fencing tokens. It records the
// first violation of a promise.
type lossyPlatform struct {
	*fakePlatform
	random *rand.Rand
	// slow is added to the time of commits, so that starts are sent early.
	slow time.Duration

	mu        sync.Mutex
	fences    map[cell.WorkerID]uint64
	revisions map[rowstore.Key]recordVersion
	// done has the tasks whose success was acknowledged.
	done      map[workload.TaskID]bool
	violation string
}

// recordVersion orders the records of a job.
type recordVersion struct {
	epoch, revision uint64
	done            int
}

// longestLateness is the longest time after which a commit is carried out.
const longestLateness = 6 * time.Second

func (p *lossyPlatform) fail(format string, args ...any) {
	if p.violation == "" {
		p.violation = fmt.Sprintf("after %v: ", p.clock()) + fmt.Sprintf(format, args...)
	}
}

// Commit applies a transaction at once, late or never, if its conditions hold then.
func (p *lossyPlatform) Commit(ctx context.Context, t rowstore.Transaction) (rowstore.Result, error) {
	p.mu.Lock()
	fate, late := p.random.IntN(12), time.Duration(p.random.Int64N(int64(longestLateness)))
	takes := fakeLatency + p.slow + time.Duration(p.random.Int64N(int64(20*time.Millisecond)))
	p.mu.Unlock()
	if err := sleep(ctx, takes); err != nil {
		return rowstore.Result{}, err
	}
	switch fate {
	case 0:
		return rowstore.Result{}, fault.New("commit", rowstore.KindNotDone, "drawn")
	case 1:
		_, _ = p.apply(t)
		return rowstore.Result{}, sleep(ctx, time.Hour)
	case 2:
		time.AfterFunc(late, func() { _, _ = p.apply(t) })
		return rowstore.Result{}, sleep(ctx, time.Hour)
	case 3:
		return rowstore.Result{}, sleep(ctx, time.Hour)
	}
	return p.apply(t)
}

func (p *lossyPlatform) drawInt64(n int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Int64N(n)
}

func (p *lossyPlatform) apply(t rowstore.Transaction) (rowstore.Result, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fakePlatform.mu.Lock()
	defer p.fakePlatform.mu.Unlock()
	conflict := &rowstore.ConflictError{}
	for _, c := range t.Conditions {
		row, there := p.rows[c.Key]
		if there {
			conflict.Rows = append(conflict.Rows, row)
		}
		if row.Version != c.Version {
			return rowstore.Result{}, fault.New("commit", rowstore.KindConflict, "%w", conflict)
		}
	}
	p.version++
	for _, w := range t.Writes {
		p.rows[w.Key] = rowstore.Row{Key: w.Key, Value: w.Value, Version: p.version}
		p.checkRecord(w)
	}
	for _, key := range t.Deletes {
		delete(p.rows, key)
	}
	return rowstore.Result{Version: p.version, Clock: p.clock()}, nil
}

// checkRecord checks that a progress record is not older than the one that it replaces.
func (p *lossyPlatform) checkRecord(w rowstore.Write) {
	if w.Table != ledger.TableProgress {
		return
	}
	r, err := ledger.DecodeRecord(w.Value)
	owner, ownerErr := ledger.DecodeOwner(p.rows[ledger.OwnerKey()].Value)
	if err != nil || ownerErr != nil {
		p.fail("a row cannot be decoded: %v, %v", err, ownerErr)
		return
	}
	next := recordVersion{epoch: owner.Epoch, revision: r.Revision, done: countDone(r)}
	last := p.revisions[w.Key]
	older := next.epoch < last.epoch || next.epoch == last.epoch && next.revision < last.revision
	if older || next.done < last.done {
		p.fail("the record of job %s is replaced by an older one: %+v by %+v", r.Job, last, next)
	}
	p.revisions[w.Key] = next
}

// countDone returns the number of tasks that are done in a record. A record of a job that
// has ended lists no tasks, so that it counts as having all of them done.
func countDone(r cell.Record) int {
	if r.State.Final() {
		return 1 << 30
	}
	n := 0
	for _, steps := range r.Occurrences {
		for _, s := range steps {
			for i := range s.Tasks {
				if s.Tasks[i].Done {
					n++
				}
			}
		}
	}
	return n
}

// fenced reports whether a worker refuses a call with a fencing token.
func (p *lossyPlatform) fenced(id cell.WorkerID, fence uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fences[id] = max(p.fences[id], fence)
	return fence < p.fences[id]
}

// Hold records which successes are acknowledged.
func (p *lossyPlatform) Hold(ctx context.Context, r cell.HoldRequest, fence uint64) (cell.Report, error) {
	if p.fenced(r.Worker, fence) {
		return cell.Report{}, fault.New("hold", KindReplaced, "%w", cell.ErrFenced)
	}
	p.fakePlatform.mu.Lock()
	ended := p.workers[r.Worker].ended
	p.fakePlatform.mu.Unlock()
	p.mu.Lock()
	for _, e := range ended {
		if e.Number <= r.Acknowledged && e.Kind == cell.EndDone {
			p.done[e.Task] = true
		}
	}
	p.mu.Unlock()
	return p.fakePlatform.Hold(ctx, r, fence)
}

// Start checks that the task is neither done nor at work.
func (p *lossyPlatform) Start(ctx context.Context, addr netip.AddrPort, s cell.SendStart, fence uint64) (cell.StartOutcome, error) {
	if p.fenced(s.Worker, fence) {
		return cell.StartOutcome{Refused: cell.RefusedFence, Clock: p.clock()}, nil
	}
	p.mu.Lock()
	if p.done[s.Task] {
		p.fail("%s is started as run %d after its success was acknowledged", s.Task, s.Run)
	}
	p.fakePlatform.mu.Lock()
	for id, w := range p.workers {
		if r, there := w.running[s.Task]; there && r.until.After(time.Now()) && (id != s.Worker || r.number != s.Run) {
			p.fail("%s is started as run %d on %s while run %d is on %s", s.Task, s.Run, s.Worker, r.number, id)
		}
	}
	p.fakePlatform.mu.Unlock()
	p.mu.Unlock()
	return p.fakePlatform.Start(ctx, addr, s, fence)
}

// takeOver writes the row of the next owner and starts it.
func (p *lossyPlatform) takeOver(t *testing.T) *Owner {
	t.Helper()
	p.fakePlatform.mu.Lock()
	row := p.rows[ledger.OwnerKey()]
	p.fakePlatform.mu.Unlock()
	next := ledger.Owner{Host: "host", Incarnation: "host/1", Addr: netip.MustParseAddrPort("10.0.0.1:1"), Epoch: 1}
	if row.Version > 0 {
		last, err := ledger.DecodeOwner(row.Value)
		if err != nil {
			t.Fatal(err)
		}
		next.Epoch, next.EarlyStartWorkers = last.Epoch+1, last.EarlyStartWorkers
	}
	value, err := ledger.EncodeOwner(next)
	if err != nil {
		t.Fatal(err)
	}
	result, err := p.apply(rowstore.Transaction{
		Conditions: []rowstore.Condition{{Key: ledger.OwnerKey(), Version: row.Version}},
		Writes:     []rowstore.Write{{Key: ledger.OwnerKey(), Value: value}},
	})
	if err != nil {
		t.Fatal(err)
	}
	ports := portsOf(p, fakeRegistrations{})
	initial := InitialState{Row: next, Version: result.Version, OtherHosts: p.otherHosts}
	return New(fakeConfig(), initial, fakeManifest, ports, noHosts{p.otherHostsHeard}, timer.NewSystem(), tally.NoopScope, zap.NewNop())
}

// No task may run twice while commits are lost or carried out late, and while an owner that
// was replaced goes on until it hears of it. A progress record must never be replaced by an
// older one: a task that has run would be on record as waiting. Starts that are sent before
// their record, also of jobs that the successor does not know yet, must not be repeated.
func TestOverlappingOwnersRunNoTaskTwice(t *testing.T) {
	const seeds, tenures, tasks, tenure = 12, 4, 3, 8 * time.Second
	// An owner reads the store for about recovery, and hears of jobs after feedDelay.
	const recovery, feedDelay = 200 * time.Millisecond, 300 * time.Millisecond
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &lossyPlatform{
					fakePlatform: newFakePlatform(4), random: rand.New(rand.NewPCG(seed, 0)), fences: make(map[cell.WorkerID]uint64),
					revisions: make(map[rowstore.Key]recordVersion), done: make(map[workload.TaskID]bool),
				}
				p.otherHosts, p.runTakes, p.startTakes, p.stopTakes = 4, 600*time.Millisecond, 2*time.Millisecond, 150*time.Millisecond
				p.slow = time.Duration(seed%2) * 100 * time.Millisecond
				jobs := 0
				var replaced *Owner
				for range tenures {
					o := p.takeOver(t)
					defer o.Close()
					time.Sleep(time.Duration(p.drawInt64(int64(recovery))))
					for begin := time.Now(); time.Since(begin) < tenure; jobs++ {
						a := firstPartitionJob()
						a.Job.ID = jobID(jobs)
						a.Job.Steps[0].Tasks = tasks
						p.putJob(t, a)
						if replaced != nil && time.Since(begin) < time.Second {
							// The host that has accepted the job does not know of the takeover.
							replaced.JobAccepted(a)
							time.Sleep(feedDelay)
						}
						o.JobAccepted(a)
						time.Sleep(time.Duration(p.drawInt64(int64(300 * time.Millisecond))))
					}
					replaced = o
				}
				time.Sleep(tenure)
				p.mu.Lock()
				defer p.mu.Unlock()
				if p.violation != "" {
					t.Error(p.violation)
				}
				if want := tasks * jobs; len(p.done) != want {
					t.Errorf("the success of %d tasks of %d was acknowledged", len(p.done), want)
				}
			})
		})
	}
}
