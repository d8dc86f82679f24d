package demo

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/journal"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/platform/wire"
	"cicadabarrow.example/cicadabarrow/internal/pool"
	"cicadabarrow.example/cicadabarrow/internal/repeat"
)

// poolDriver drives a pool and measures the bytes that it sends and the time that
// it takes. The figures in docs/CAPACITY.md come from it.
type poolDriver struct {
	b       *testing.B
	pool    *pool.Pool
	now     time.Time
	running map[string][]platform.TaskReport

	journalBytes, startBytes, reportBytes int
	starts, reports, renewals             int
	startTime, reportTime                 time.Duration
}

const (
	workerCount = 580
	// jobsPerPass is the number of jobs accepted between two scheduling passes.
	jobsPerPass = 25
)

// BenchmarkSlope shows how costs grow with the load: it measures the cost of a
// start and of a report with its renewals, and the memory of a task, at several
// numbers of running tasks.
func BenchmarkSlope(b *testing.B) {
	for _, tasks := range []int{580, 1160, 2320, 4100} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			for b.Loop() {
				measurePool(b, tasks)
			}
		})
	}
}

func measurePool(b *testing.B, tasks int) {
	now := time.Unix(1_800_000_000, 0)
	s := &poolDriver{b: b, now: now, running: make(map[string][]platform.TaskReport)}
	s.pool = pool.New(pool.DefaultConfig(), pool.Takeover{Epoch: 1}, pool.RecoveredState{}, now)
	var hosts []platform.Host
	for n := range workerCount {
		hosts = append(hosts, platform.Host{
			Name: fmt.Sprintf("worker-%03d", n), Role: platform.RoleWorker, DataCentre: "kita-hakata", Rack: fmt.Sprintf("rack-%02d", n/8),
			Addr:     netip.MustParseAddrPort("127.0.0.1:9000"),
			Capacity: job.Size{MilliCores: 32_000, MemoryMB: 64_000},
		})
	}
	s.pool.SetWorkers(hosts, now)
	s.performActions(s.pool.Tick(now))
	before := heapInUse()
	for n := 0; n < tasks; n++ {
		s.pool.Accept(job.Spec{
			ID: fmt.Sprintf("edition-%08d", n), Team: "editorial", Name: "edition", Kind: job.KindBatch,
			Priority: job.PriorityNormal, Tasks: 1, Size: job.Size{MilliCores: 1000, MemoryMB: 1024},
			RunTime: time.Hour, Replayable: true, MaxAttempts: 3,
		}, s.now)
		if n%jobsPerPass == jobsPerPass-1 {
			s.schedule()
		}
	}
	s.schedule()
	memory := heapInUse() - before
	s.renew()
	if s.starts != tasks || s.renewals < tasks {
		b.Fatalf("%d starts and %d renewals of %d tasks", s.starts, s.renewals, tasks)
	}
	b.ReportMetric(float64(memory)/float64(tasks), "heap-B/task")
	b.ReportMetric(float64(s.journalBytes)/float64(tasks), "journal-B/start")
	b.ReportMetric(float64(s.startBytes)/float64(tasks), "wire-B/start")
	b.ReportMetric(float64(s.startTime.Nanoseconds())/float64(tasks), "cpu-ns/start")
	b.ReportMetric(float64(s.reportBytes)/float64(s.reports), "wire-B/report")
	b.ReportMetric(float64(s.renewals)/float64(s.reports), "renewals/report")
	b.ReportMetric(float64(s.reportTime.Nanoseconds())/float64(s.reports), "cpu-ns/report")
}

func (s *poolDriver) schedule() {
	startedAt := time.Now()
	s.performActions(s.pool.Schedule(s.now))
	s.startTime += time.Since(startedAt)
}

// renew advances the time by 6 s in steps of 100 ms. Within the 6 s every lease is
// renewed.
func (s *poolDriver) renew() {
	startedAt := time.Now()
	for range 60 {
		s.now = s.now.Add(100 * time.Millisecond)
		s.performActions(s.pool.Tick(s.now))
	}
	s.reportTime += time.Since(startedAt)
}

func (s *poolDriver) performActions(actions []pool.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case pool.PersistRecords:
			s.journalBytes += len(journal.Encode(a.Records))
			s.performActions(s.pool.Durable(a.BatchID, s.now))
		case pool.StartTasks:
			s.start(a)
		case pool.RequestReport:
			s.report(a)
		}
	}
}

func (s *poolDriver) start(a pool.StartTasks) {
	s.startBytes += s.encodedSize(wire.FromStarts(a.Starts)) + s.encodedSize(wire.FromErrors(make([]error, len(a.Starts))))
	var results []pool.StartResult
	for _, one := range a.Starts {
		s.starts++
		results = append(results, pool.StartResult{Attempt: one.Attempt, Outcome: pool.StartAccepted})
		s.running[a.Worker.Name] = append(s.running[a.Worker.Name], platform.TaskReport{
			Attempt: one.Attempt, State: platform.TaskRunning, Size: one.Size, Until: one.Until, Usage: one.Size,
		})
	}
	s.performActions(s.pool.Started(results, s.now))
}

// report responds as a worker whose tasks have all changed their usage.
func (s *poolDriver) report(a pool.RequestReport) {
	r := platform.Report{Now: s.now, BootID: "boot-1", Tasks: s.running[a.Worker.Name]}
	if len(a.Request.Renewals) > 0 {
		s.reports++
		s.renewals += len(a.Request.Renewals)
		s.reportBytes += s.encodedSize(wire.FromReportRequest(a.Request)) + s.encodedSize(wire.FromReport(r))
	}
	s.performActions(s.pool.Reported(a.Worker.Name, a.Request.Since, r, s.now))
}

func (s *poolDriver) encodedSize(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		s.b.Fatal(err)
	}
	return len(data)
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkSlopeKeys measures the memory and the time of an idempotency key whose
// request has been answered.
func BenchmarkSlopeKeys(b *testing.B) {
	for _, keys := range []int{1_000, 4_000, 16_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			for b.Loop() {
				before, startedAt := heapInUse(), time.Now()
				table := repeat.New(repeat.DefaultConfig(), true, startedAt)
				for range keys {
					key := uuid.Must(uuid.NewV7()).String()
					if _, _, err := table.Begin(key, 1, time.Now(), func(message.Answer) {}); err != nil {
						b.Fatal(err)
					}
					table.End(key, message.Answer{ID: key, Outcome: message.OutcomeAnswered, Status: 200, Body: make([]byte, 64)})
				}
				elapsed := time.Since(startedAt)
				b.ReportMetric(float64(heapInUse()-before)/float64(keys), "heap-B/key")
				b.ReportMetric(float64(elapsed.Nanoseconds())/float64(keys), "cpu-ns/key")
				runtime.KeepAlive(table)
			}
		})
	}
}
