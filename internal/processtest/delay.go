package processtest

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// delayInterval is the interval at which the waits of processes are read.
	delayInterval = time.Second
	// reportedWait is the least wait in such an interval that is written down.
	reportedWait = delayInterval / 4
	// ownInterval is the interval of a timer whose delays show how late the test's own
	// process is, and reportedDelay the least delay that is written down.
	ownInterval   = 10 * time.Millisecond
	reportedDelay = 100 * time.Millisecond
)

// Delays writes to a file, delays.log in the artifact folder of the test, which processes
// were short of processor time, and when.
type Delays struct {
	stop func()

	mu  sync.Mutex
	out io.Writer
	// longest is the longest delay of the test's own process.
	longest time.Duration
	// waited has the sum of the waits of each process.
	waited map[string]time.Duration
}

// WatchDelays watches the test's own process and others, by their names, until Stop is
// called. Where the system does not tell how long threads wait, only the test's own process
// is watched.
func WatchDelays(t *testing.T, processes map[string]int) *Delays {
	t.Helper()
	file, err := os.Create(filepath.Join(t.ArtifactDir(), "delays.log"))
	if err != nil {
		t.Fatal(err)
	}
	d := &Delays{out: file, waited: make(map[string]time.Duration)}
	done := make(chan struct{})
	var watches sync.WaitGroup
	watches.Go(func() { d.watchOwn(done) })
	watches.Go(func() { d.watchOthers(done, processes) })
	d.stop = sync.OnceFunc(func() {
		close(done)
		watches.Wait()
		_ = file.Close()
	})
	t.Cleanup(d.stop)
	return d
}

// Stop ends the watch and returns the longest delay of the test's own process, and how long
// the threads of the other processes have waited for a processor on average.
func (d *Delays) Stop() (longest, meanWait time.Duration) {
	d.stop()
	var sum time.Duration
	for _, w := range d.waited {
		sum += w
	}
	return d.longest, sum / time.Duration(max(1, len(d.waited)))
}

func (d *Delays) write(at time.Time, format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, at.Format("15:04:05.000 ")+format+"\n", args...)
}

func (d *Delays) watchOwn(done <-chan struct{}) {
	due := time.Now().Add(ownInterval)
	for tick := time.NewTicker(ownInterval); ; due = time.Now().Add(ownInterval) {
		select {
		case <-tick.C:
		case <-done:
			tick.Stop()
			return
		}
		now := time.Now()
		late := now.Sub(due)
		d.mu.Lock()
		d.longest = max(d.longest, late)
		if late >= reportedDelay {
			d.write(now, "test late by %v", late)
		}
		d.mu.Unlock()
	}
}

func (d *Delays) watchOthers(done <-chan struct{}, processes map[string]int) {
	before := make(map[string]threadTimes)
	for tick := time.NewTicker(delayInterval); ; {
		for name, id := range processes {
			times, ok := readThreadTimes(id)
			if last, known := before[name]; ok && known {
				d.add(name, times.waited-last.waited, times.ran-last.ran)
			}
			before[name] = times
		}
		select {
		case <-tick.C:
		case <-done:
			tick.Stop()
			return
		}
	}
}

func (d *Delays) add(name string, waited, ran time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waited[name] += waited
	if waited >= reportedWait {
		d.write(time.Now(), "%s ran %v and waited %v", name, ran, waited)
	}
}

// threadTimes is how long all threads of a process have run and have waited for a processor.
type threadTimes struct{ ran, waited time.Duration }

// readThreadTimes reads the times of a process from /proc, where Linux has them.
func readThreadTimes(id int) (threadTimes, bool) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", id))
	if err != nil || len(files) == 0 {
		return threadTimes{}, false
	}
	var sum threadTimes
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		var ran, waited time.Duration
		if _, err := fmt.Fscan(strings.NewReader(string(text)), &ran, &waited); err == nil {
			sum.ran += ran
			sum.waited += waited
		}
	}
	return sum, true
}
