package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/standin"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const (
	// submitInterval is the mean time between two jobs of one data centre.
	submitInterval = 120 * time.Millisecond
	submitAttempts = 8
	gangWindow     = 5 * time.Second
	// serviceTasks is the number of tasks of the long-running service of each
	// data centre.
	serviceTasks = 6
)

// teams lists the teams, which own sections of the plan and submit jobs.
var teams = []string{"payments", "editorial", "bookings", "feeds", "archive", "proofs"}

// submitter submits the jobs of one data centre.
type submitter struct {
	deployment *standin.Deployment
	balancer   Balancer
	dataCentre standin.DataCentre
	client     *http.Client
	random     *rand.Rand
	timers     timer.Service

	mu       sync.Mutex
	accepted []string
	count    int
}

// run submits one long-running service, and then jobs of all kinds until the
// context ends.
func (s *submitter) run(ctx context.Context) {
	s.submit(s.serviceJob())
	for sleep(ctx, s.timers, time.Duration(s.random.Int64N(int64(2*submitInterval)))) {
		s.submit(s.nextJob())
	}
}

func (s *submitter) serviceJob() job.Spec {
	return s.spec("feed", job.KindService, serviceTasks, job.Size{MilliCores: 2000, MemoryMB: 2048}, 0)
}

// nextJob returns a random job: a tenth are gangs, a fifth urgent proofs, a tenth
// batch jobs with an accelerator, and the others plain batch jobs.
func (s *submitter) nextJob() job.Spec {
	runTime := time.Duration(300+s.random.IntN(1700)) * time.Millisecond
	size := job.Size{MilliCores: int64(1+s.random.IntN(6)) * 1000, MemoryMB: int64(1+s.random.IntN(8)) * 1024}
	switch n := s.random.IntN(10); {
	case n == 0:
		return s.spec("edition", job.KindAllAtOnce, 2+s.random.IntN(6), size, runTime)
	case n <= 2:
		j := s.spec("proof", job.KindBatch, 1, size, runTime)
		j.Priority = job.PriorityUrgent
		return j
	case n == 3:
		size.Accelerators = 1
	}
	return s.spec("build", job.KindBatch, 1+s.random.IntN(6), size, runTime)
}

func (s *submitter) spec(name string, kind job.Kind, tasks int, size job.Size, runTime time.Duration) job.Spec {
	s.count++
	return job.Spec{
		ID: fmt.Sprintf("%s-%s-%d", s.dataCentre.Name, name, s.count), Team: teams[s.random.IntN(len(teams))],
		Name: name, Kind: kind, Priority: job.PriorityNormal, Tasks: tasks, Size: size, RunTime: runTime,
		DataCentre: s.dataCentre.Name, Replayable: true, MaxAttempts: 20,
	}
}

// submit submits a job. It retries under the same ID until the job is accepted or
// refused for good.
func (s *submitter) submit(spec job.Spec) {
	at := s.timers.Now()
	body, err := json.Marshal(api.NewJob(spec))
	if err != nil {
		return
	}
	for range submitAttempts {
		status, ok := s.post(api.PathJobs, body)
		if ok && status == http.StatusOK {
			s.record(spec, at)
			return
		}
		if ok && status == http.StatusUnprocessableEntity {
			return
		}
		sleep(context.Background(), s.timers, retryDelay)
	}
}

func (s *submitter) record(spec job.Spec, at time.Time) {
	audit := s.deployment.Audit
	audit.JobSubmitted(spec.ID, at, spec.Priority == job.PriorityUrgent)
	if spec.Kind == job.KindAllAtOnce {
		audit.GangSubmitted(spec.ID, spec.Tasks, gangWindow)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted = append(s.accepted, spec.ID)
}

// ids returns the IDs of all accepted jobs.
func (s *submitter) ids() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.accepted...)
}

// cancelWave cancels all open builds of all teams at once.
func (s *submitter) cancelWave() {
	body, err := json.Marshal(api.Cancel{Selector: &api.Selector{Name: "build"}})
	if err != nil {
		return
	}
	s.post(api.PathCancel, body)
}

// cancel sends one request to cancel a job, and reports whether the response
// confirms the cancellation.
func (s *submitter) cancel(id string) bool {
	body, err := json.Marshal(api.Cancel{ID: id})
	if err != nil {
		return false
	}
	status, ok := s.post(api.PathCancel, body)
	return ok && status == http.StatusOK
}

func (s *submitter) post(path string, body []byte) (status int, ok bool) {
	hosts := s.balancer.Up(s.dataCentre.Name)
	if len(hosts) == 0 {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	url := hosts[s.random.IntN(len(hosts))].URL + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, false
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, false
	}
	_ = resp.Body.Close()
	return resp.StatusCode, true
}

// state returns the state of a job as the first entry host that answers reports
// it.
func (s *submitter) state(id string) (api.JobStatus, bool) {
	var out api.JobStatus
	for _, m := range s.balancer.Up(s.dataCentre.Name) {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, m.URL+api.PathJobs+"/"+id, http.NoBody)
		if err != nil {
			cancel()
			return out, false
		}
		resp, err := s.client.Do(req)
		if err != nil {
			cancel()
			continue
		}
		err = json.NewDecoder(resp.Body).Decode(&out)
		_ = resp.Body.Close()
		cancel()
		if err == nil && resp.StatusCode == http.StatusOK {
			return out, true
		}
	}
	return out, false
}
