package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// impatientClient and standingClient are the numbers of the clients beside soakClients.
	impatientClient = 100
	standingClient  = 101
	// soakPatience is the longest time for which the impatient client waits for the answer
	// to a submission.
	soakPatience = 900 * time.Millisecond
	// cancelTries is how often a cancel is sent at most until it is answered.
	cancelTries = 20
	cancelPause = 200 * time.Millisecond
	// standingTasks is the number of tasks of the standing job.
	standingTasks = 3
)

// lastingJob returns a job whose tasks run until it is cancelled. spec tells how their runs
// end by themselves.
func lastingJob(id, spec string, tasks int) *soakJob {
	lasting := step(tasks)
	lasting["long_running"] = true
	return &soakJob{id: id, queue: plainQueue, lasts: true, body: map[string]any{"spec": spec, "steps": []any{lasting}}}
}

// standingJob returns a job whose runs end by themselves again and again.
func standingJob() *soakJob {
	return lastingJob(fmt.Sprintf("%08x%08x", standingClient, 0), "last 1500ms", standingTasks)
}

// runImpatientClient submits jobs that last, often leaves before it has an answer, and cancels
// each of them.
func (s *hostSoak) runImpatientClient(ctx context.Context) {
	random := s.randomOf(impatientClient)
	for n := 0; ctx.Err() == nil; n++ {
		j := lastingJob(fmt.Sprintf("%08x%08x", impatientClient, n), "last", 1)
		s.add(j)
		leaves := &http.Client{Timeout: time.Duration(random.Int64N(int64(soakPatience)))}
		status, _ := s.callBy(leaves, s.anyHost(random), http.MethodPost, j.queue+j.id, j.body)
		leaves.CloseIdleConnections()
		j.refused = status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
		for range cancelTries {
			if s.cancel(http.DefaultClient, random, j); j.cancelAnswered {
				break
			}
			wait(context.Background(), cancelPause)
		}
		wait(ctx, rand.N(soakThink))
	}
}

// cancel sends the cancel of a job once.
func (s *hostSoak) cancel(client *http.Client, random *rand.Rand, j *soakJob) {
	j.cancelled = true
	status, _ := s.callBy(client, s.anyHost(random), http.MethodDelete, j.queue+j.id, nil)
	j.cancelAnswered = j.cancelAnswered || status == http.StatusOK || status == http.StatusGone
}

// checkCancels waits until the store has carried out all calls, and then until nothing runs
// of the jobs whose cancel was answered.
func (s *hostSoak) checkCancels() {
	s.t.Helper()
	s.await("the store has carried out all calls", func() bool { return s.platform.Store.LateCalls() == 0 })
	answered := 0
	for _, j := range s.jobs {
		if j.cancelAnswered {
			answered++
			s.await("nothing runs of job "+j.id+", whose cancel was answered", func() bool { return !s.platform.Runs(j.id) })
		}
	}
	s.t.Logf("%d cancels were answered", answered)
}

// checkStanding waits until each task of the standing job is started once more.
func (s *hostSoak) checkStanding(j *soakJob) {
	s.t.Helper()
	if j.accepted.IsZero() {
		s.t.Error("the standing job was not accepted")
		return
	}
	for n := range standingTasks {
		task := fmt.Sprintf("%s.0.0.%d", j.id, n)
		before := s.platform.Starts(task)
		s.await(task+" is started again", func() bool { return s.platform.Starts(task) > before })
	}
}
