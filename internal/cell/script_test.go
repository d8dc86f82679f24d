package cell_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// TestScripts runs the scripts of testdata/script. Each script is a session of
// one cell in virtual time, with the cell's actions after each event.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/script", func(t *testing.T, path string) {
		s := newScript(t)
		datadriven.RunTest(t, path, s.command)
	})
}

// script is a session of one cell.
type script struct {
	now      time.Time
	cell     *cell.Cell
	manifest *manifest.Manifest
	// store holds the durable records.
	store             map[workload.JobID]cell.Record
	waves             map[int]cell.WaveRecord
	earlyStartWorkers []cell.WorkerID
	accepted          []cell.AcceptedJob
	// waiting holds records that were taken and neither committed nor failed.
	waiting []cell.Record
	config  cell.Config
	// unfenced is set if workers check no fencing token.
	unfenced bool
	// authorized is set while commits confirm that the owner owns the cell.
	authorized bool
	// account is the account of the job that is accepted next.
	account string
	// showsIncarnations is set if starts are shown with the incarnation that they are for.
	showsIncarnations bool
	// waits holds the log lines about long-running tasks that are not at work.
	waits *observer.ObservedLogs
}

var scriptConfig = cell.Config{
	Lease: 4500 * time.Millisecond, MaxLease: 6 * time.Second, ContactTimeout: 1500 * time.Millisecond,
	StopRetryInterval: 800 * time.Millisecond, KeepEnded: 120 * time.Second,
}

// nopObserver discards what it observes.
type nopObserver struct{}

// Observe does nothing.
func (nopObserver) Observe(cell.Stage, string, time.Duration) {}

// Count does nothing.
func (nopObserver) Count(cell.Counter) {}

func newScript(*testing.T) *script {
	s := &script{now: time.Unix(1_700_000_000, 0), config: scriptConfig, store: make(map[workload.JobID]cell.Record), waves: make(map[int]cell.WaveRecord)}
	s.manifest = &manifest.Manifest{Version: 1, Queues: []manifest.Queue{
		{Name: "plain", Service: "s", Priority: 1, MaxAttempts: 2, SlackFactor: 2, TargetLatency: time.Second},
		{Name: "urgent", Service: "s", MaxAttempts: 2, SlackFactor: 1.5, TargetLatency: 500 * time.Millisecond},
		{
			Name: "advised", Service: "s", Priority: 2, MaxAttempts: 2, SlackFactor: 2, TargetLatency: time.Second,
			Advice: manifest.Advice{Fixed: 400 * time.Millisecond, PerWorker: 6 * time.Millisecond, ValidFor: 2 * time.Second},
		},
		{
			Name: "urgent-advised", Service: "s", MaxAttempts: 2, SlackFactor: 1.5, TargetLatency: 500 * time.Millisecond,
			Advice: manifest.Advice{Fixed: 30 * time.Millisecond, PerWorker: time.Millisecond, ValidFor: 2 * time.Second},
		},
	}}
	s.restart()
	return s
}

func (s *script) restart() {
	config := s.config
	config.Unfenced = s.unfenced
	core, logs := observer.New(zap.InfoLevel)
	s.waits = logs
	s.cell = cell.New(s.now, config, nopObserver{}, zap.New(core))
	s.cell.SetManifest(s.manifest)
}

func (s *script) command(t *testing.T, d *datadriven.TestData) string {
	if s.authorized {
		s.cell.SetConfirmedAt(s.now)
	}
	arg := func(key string) string {
		for _, a := range d.CmdArgs {
			if a.Key == key && len(a.Vals) > 0 {
				return a.Vals[0]
			}
		}
		return ""
	}
	flag := func(key string) bool { return d.HasArg(key) }
	first := func(n int) string { return d.CmdArgs[n].Key }
	switch d.Cmd {
	case "unfenced":
		s.unfenced, s.authorized = true, true
		s.restart()
	case "lease":
		s.config.Lease, s.config.MaxLease = parseDuration(t, first(0)), parseDuration(t, arg("max"))
		s.restart()
	case "confirmed":
		s.cell.SetConfirmedAt(s.now)
		s.cell.SetUnconfirmed(false)
	case "authorized":
		s.authorized = first(0) == "on"
	case "worker":
		r := registration(t, first(0), arg, flag)
		if v := arg("unwritten"); v != "" {
			r.WrittenAfter = s.now.Add(-parseDuration(t, v))
		}
		s.cell.Register(s.now, r)
	case "unlist":
		s.cell.Unlist(s.now, cell.WorkerID(first(0)))
	case "malformed-entry":
		s.cell.RejectEntry(s.now, cell.WorkerID(first(0)))
	case "job":
		s.account = arg("account")
		s.accept(t, first(0), first(1), d.Input)
	case "cancel":
		s.cell.Cancel(s.now, workload.JobID(first(0)))
	case "report":
		// A report answers a hold call, which grants the lease.
		s.cell.NextHold(s.now, cell.WorkerID(first(0)))
		s.cell.Reported(s.now, cell.WorkerID(first(0)), report(t, arg, d.Input))
	case "keep":
		return s.keep(t, cell.WorkerID(first(0)), arg, d.Input)
	case "advised":
		s.advised(t, first(0), arg)
	case "started":
		s.started(t, first(0), first(1), first(2), arg, flag)
	case "overdue":
		s.cell.StartOverdue(cell.WorkerID(first(0)))
	case "stopped":
		s.cell.Stopped(cell.WorkerID(first(0)), parseTaskID(t, first(1)), parseInt(t, first(2)), parseDuration(t, arg("clock")))
	case "advance":
		s.now = s.now.Add(parseDuration(t, first(0)))
		s.cell.Tick(s.now)
	case "suspend":
		s.now = s.now.Add(parseDuration(t, first(0)))
		s.cell.SetUnconfirmed(true)
	case "commit":
		return s.commit(t)
	case "records":
		s.waiting = append(s.waiting, s.cell.TakeRecords(100)...)
	case "commit-failed":
		s.cell.NotCommitted(s.waiting)
		s.waiting = nil
	case "stored":
		s.recordDone(t, workload.JobID(first(0)), d.Input)
	case "takeover":
		s.takeover(flag("ended"))
	case "hold-failed":
		s.cell.HoldFailed(cell.WorkerID(first(0)))
	case "plan":
		p, ok := s.cell.NextHold(s.now, cell.WorkerID(first(0)))
		return fmt.Sprintf("call=%v deadline=%v acknowledged=%d wait=%v\n", ok, p.Deadline, p.Acknowledged, p.Wait)
	case "waits":
		lines := s.longWaits()
		if flag("count") {
			return fmt.Sprintln(strings.Count(lines, "\n"))
		}
		return lines
	case "status":
		state, known := s.cell.Status(workload.JobID(first(0)))
		return fmt.Sprintf("%v %v\n", known, state)
	case "crashes":
		return s.crashes(workload.JobID(first(0)))
	case "pace-failed":
		s.cell.PaceFailed(cell.WorkerID(first(0)), parseTaskID(t, first(1)), parseInt(t, first(2)))
	case "slow":
		s.cell.SetEarlyStarts(first(0) == "on")
	case "pending":
		return fmt.Sprintln(s.cell.Pending(first(0)))
	case "wave":
		machines := strings.Split(arg("machines"), "+")
		s.cell.SetWave(s.now, cell.Wave{Number: 1, Machines: machines, TimeLimit: time.Minute, MaxDown: 1})
	case "maintained":
		s.cell.Maintained(s.now, cell.Maintenance{Machine: first(0), Wave: 1}, cell.MaintenanceOutcome(first(1)))
	case "expired":
		ids := s.cell.Expired(s.now, 10)
		s.cell.Forget(ids)
		return fmt.Sprintln(ids)
	case "show-incarnations":
		s.showsIncarnations = true
	case "limit":
		s.cell.LimitStarts(parseInt(t, first(0)))
	case "take":
	case "account":
		s.setAccount(t, first(0), arg, flag)
	case "accounts":
		return s.accounts()
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return s.actions()
}

// keep lets time pass while a worker sends the same report every second, in which the
// runs progress by gain percent each time.
func (s *script) keep(t *testing.T, id cell.WorkerID, arg func(string) string, input string) string {
	r := report(t, arg, input)
	gain := 0
	if v := arg("gain"); v != "" {
		gain = parseInt(t, v)
	}
	var out strings.Builder
	for end := s.now.Add(parseDuration(t, arg("for"))); s.now.Before(end); {
		s.now = s.now.Add(time.Second)
		s.cell.Tick(s.now)
		r.Clock += time.Second
		for i := range r.Running {
			r.Running[i].Percent += gain
		}
		s.cell.NextHold(s.now, id)
		s.cell.Reported(s.now, id, r)
		out.WriteString(s.actions())
	}
	return out.String()
}

// accept parses a job. Each line is a step, described by words such as
// "tasks=2".
func (s *script) accept(t *testing.T, id, queue, input string) {
	q := slices.IndexFunc(s.manifest.Queues, func(q manifest.Queue) bool { return q.Name == queue })
	a := cell.AcceptedJob{Job: workload.Job{ID: workload.JobID(id), Queue: queue, Spec: "spec"}, Queue: s.manifest.Queues[q], Account: s.terms(t)}
	for _, line := range strings.Split(strings.TrimSpace(input), "\n") {
		step := workload.Step{
			Tasks: 1, Size: job.Size{MilliCores: 1000, MemoryMB: 100}, Estimate: time.Second,
		}
		for _, word := range strings.Fields(line) {
			stepWord(t, &step, word)
		}
		a.Job.Steps = append(a.Job.Steps, step)
	}
	s.accepted = append(s.accepted, a)
	s.cell.Accept(s.now, a)
}

func (s *script) advised(t *testing.T, step string, arg func(string) string) {
	id := parseTaskID(t, step+".0").StepID
	answer := cell.Advice{Step: id}
	for _, w := range strings.Split(arg("asked"), "+") {
		answer.Asked = append(answer.Asked, cell.WorkerID(w))
	}
	for _, w := range strings.Split(arg("allowed"), "+") {
		answer.Allowed = append(answer.Allowed, cell.Ticket{Worker: cell.WorkerID(w), Value: "t-" + w})
	}
	answer.Failed = arg("failed") != ""
	s.cell.Advised(s.now, answer)
}

func (s *script) started(
	t *testing.T, worker, task, run string, arg func(string) string, flag func(string) bool,
) {
	outcome := cell.StartOutcome{
		Unknown: flag("unknown"), NotSent: flag("not-sent"), Refused: cell.Refusal(arg("refused")),
		Clock: parseDuration(t, arg("clock")),
	}
	s.cell.Started(s.now, cell.WorkerID(worker), parseTaskID(t, task), parseInt(t, run), outcome)
}

// commit makes all records durable, as they are encoded in the store.
func (s *script) commit(t *testing.T) string {
	s.actions()
	records := slices.Concat(s.waiting, s.cell.TakeRecords(100))
	s.waiting = nil
	var out strings.Builder
	slices.SortFunc(records, func(a, b cell.Record) int { return strings.Compare(string(a.Job), string(b.Job)) })
	for _, r := range records {
		s.store[r.Job] = stored(t, r)
		fmt.Fprintf(&out, "record %s %s\n", r.Job, r.State)
	}
	s.cell.Committed(s.now, records)
	waves := s.cell.WaveRecords()
	for _, w := range waves {
		s.waves[w.Wave] = w
		fmt.Fprintf(&out, "record wave %d ordered=%v settled=%v\n", w.Wave, w.Ordered, w.Settled)
	}
	s.cell.WavesCommitted(waves)
	s.earlyStartWorkers = s.cell.EarlyStartWorkers(s.now)
	if len(s.earlyStartWorkers) > 0 {
		fmt.Fprintf(&out, "starts go ahead at %v\n", s.earlyStartWorkers)
	}
	s.cell.EarlyStartWorkersCommitted(s.earlyStartWorkers)
	return out.String() + s.actions()
}

// stored returns a record as it is read from the store.
func stored(t *testing.T, r cell.Record) cell.Record {
	value, err := ledger.EncodeRecord(r)
	if err == nil {
		r, err = ledger.DecodeRecord(value)
	}
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// recordDone records the given tasks of a job as done, as another release may have.
func (s *script) recordDone(t *testing.T, id workload.JobID, done string) {
	for _, name := range strings.Fields(done) {
		task := parseTaskID(t, name)
		r := &s.store[id].Occurrences[task.Occurrence][task.Step].Tasks[task.Index]
		r.Done, r.Worker, r.Run = true, "", 0
	}
}

// crashes formats the crashes that the durable record of a job counts.
func (s *script) crashes(id workload.JobID) string {
	var out strings.Builder
	for _, steps := range s.store[id].Occurrences {
		for i, step := range steps {
			for k, t := range step.Tasks {
				fmt.Fprintf(&out, "step %d task %d crashes=%d lost=%d\n", i, k, len(t.Crashes), len(t.Lost))
			}
		}
	}
	return out.String()
}

// takeover creates a new cell from the durable state.
func (s *script) takeover(ended bool) {
	s.restart()
	s.cell.RestoreEarlyStartWorkers(s.earlyStartWorkers)
	if ended {
		s.cell.PredecessorEnded()
	}
	for _, a := range s.accepted {
		s.cell.Accept(s.now, a)
	}
	for _, a := range s.accepted {
		if r, ok := s.store[a.Job.ID]; ok {
			s.cell.Restore(s.now, r)
		}
	}
	for _, w := range s.waves {
		s.cell.RestoreWave(w)
	}
}

// longWaits formats the log lines about long-running tasks that are not at work.
func (s *script) longWaits() string {
	var out strings.Builder
	for _, e := range s.waits.TakeAll() {
		if e.Message != "long-running task is not at work" {
			continue
		}
		fields := e.ContextMap()
		for _, name := range slices.Sorted(maps.Keys(fields)) {
			fmt.Fprintf(&out, "%s=%v ", name, fields[name])
		}
		out.WriteString("\n")
	}
	return out.String()
}

// actions takes the cell's actions and formats them in a fixed order.
func (s *script) actions() string {
	var lines []string
	for _, a := range s.cell.TakeActions(s.now) {
		switch a := a.(type) {
		case cell.SendStart:
			line := fmt.Sprintf("start %s run %d at %s deadline=%v ticket=%q checkpoint=%q",
				a.Task, a.Run, a.Worker, a.Deadline, a.Ticket, a.Checkpoint)
			if s.showsIncarnations {
				line += fmt.Sprintf(" incarnation=%d", a.Incarnation)
			}
			lines = append(lines, line)
		case cell.SendStop:
			lines = append(lines, fmt.Sprintf("stop %s run %d at %s", a.Task, a.Run, a.Worker))
		case cell.SetPace:
			lines = append(lines, fmt.Sprintf("pace %s run %d at %s to %d", a.Task, a.Run, a.Worker, a.Percent))
		case cell.Maintenance:
			lines = append(lines, fmt.Sprintf("maintenance of %s for wave %d", a.Machine, a.Wave))
		case cell.WaveStatus:
			lines = append(lines, fmt.Sprintf("wave %d done=%v", a.Wave, a.Done))
		case cell.RequestReport:
			lines = append(lines, fmt.Sprintf("look at %s", a.Worker))
		case cell.AskAdvice:
			lines = append(lines, fmt.Sprintf("ask about %s at %v urgent=%v cost=%v", a.Step, a.Workers, a.Urgent, a.Cost))
		}
	}
	slices.Sort(lines)
	if len(lines) == 0 {
		return ""
	}
	return strings.Join(lines, "\n") + "\n"
}
