package processtest

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"testing"
	"time"
)

// spinVariable has the bursts of a spinner, in the environment of its process.
const spinVariable = "PROCESSTEST_SPIN"

// Bursts tells when spinners keep their threads busy. All spinners with the same bursts do
// so at the same times.
type Bursts struct {
	Begin time.Time
	// Lasting is how long the spinners run.
	Lasting time.Duration
	// Seed draws the bursts, which take from Shortest to Longest, and the pauses before
	// each of them, which take up to LongestPause.
	Seed              uint64
	Shortest, Longest time.Duration
	LongestPause      time.Duration
	// Threads is the number of threads of each spinner.
	Threads int
}

// RunSpinner runs the process as a spinner until its bursts are over, if StartSpinners
// started it. TestMain calls it first.
func RunSpinner() {
	text, ok := os.LookupEnv(spinVariable)
	if !ok {
		return
	}
	var b Bursts
	if err := json.Unmarshal([]byte(text), &b); err != nil {
		panic(err)
	}
	runtime.GOMAXPROCS(b.Threads)
	end := b.Begin.Add(b.Lasting)
	random := rand.New(rand.NewPCG(b.Seed, 0))
	draw := func(below time.Duration) time.Duration { return time.Duration(random.Int64N(int64(below) + 1)) }
	for at := b.Begin; at.Before(end); {
		at = at.Add(draw(b.LongestPause))
		<-time.After(time.Until(at))
		at = at.Add(b.Shortest + draw(b.Longest-b.Shortest))
		spin(b.Threads, at)
	}
	os.Exit(0)
}

// spin keeps threads busy until a time.
func spin(threads int, until time.Time) {
	var group sync.WaitGroup
	for range threads {
		group.Go(func() {
			for time.Now().Before(until) {
			}
		})
	}
	group.Wait()
}

// StartSpinners starts processes of the test's own binary that take processor time from all
// others in bursts. They exit when their bursts are over, and are killed at the
// end of the test if they still run.
func StartSpinners(t *testing.T, processes int, b Bursts) {
	t.Helper()
	binary, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	for range processes {
		cmd := exec.Command(binary)
		cmd.Env = append(os.Environ(), spinVariable+"="+string(text))
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		})
	}
}
