package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// The progress record of a job with 10,000 tasks exceeds the size limit of a row. It
// must not keep the owner from committing the records of other jobs.
func TestARecordBeyondARowDoesNotStopOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(20)
		p.startTakes, p.runTakes = time.Millisecond, time.Second
		o := p.startOwner()
		defer o.Close()
		accept(o, 1, 10000)
		time.Sleep(5 * time.Second)
		const small = 1
		acceptFrom(o, small, 1, 1)
		time.Sleep(10 * time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.started[workload.TaskID{StepID: workload.StepID{Job: jobID(small)}}] {
			t.Error("after ten seconds a small job has not started because of the record of a large one")
		}
	})
}
