package experiment_test

import (
	"bytes"
	"strings"
	"testing"

	"cicadabarrow.example/cicadabarrow/internal/experiment"
)

// service is what the callers of some accounts got.
type service struct {
	jobs, inTime, served, refused int
}

func (s service) inTimeShare() float64 { return float64(s.inTime) / float64(s.jobs) }

func (s service) refusedShare() float64 { return float64(s.refused) / float64(s.jobs) }

// serviceOf simulates a load with a few seeds and returns what the callers of the heavy
// account got, and those of all others together.
func serviceOf(t *testing.T, load experiment.Load, options experiment.Options) (heavy, light service) {
	t.Helper()
	for seed := range uint64(seeds) {
		options.Seed = seed + 1
		result := simulate(t, load, options)
		for i := range result.Accounts {
			a := &result.Accounts[i]
			to := &light
			if a.Name == "heavy" {
				to = &heavy
			}
			to.jobs += a.Jobs
			to.inTime += a.InTime
			to.served += a.InTime + a.Late
			to.refused += a.Refused
		}
	}
	return heavy, light
}

// maxLoss is the share of their jobs that other accounts may lose by the load of one: an
// account that sends more than its weight delays only itself, apart from the tasks that it
// was lent capacity for.
const maxLoss = 0.05

// TestOneHeavyAccountDelaysOnlyItself checks that the callers of light accounts get what
// they would get without the burst of a heavy one, which sends twice its weight, and that
// the heavy one gets no less than before by sending more.
func TestOneHeavyAccountDelaysOnlyItself(t *testing.T) {
	t.Parallel()
	load := readLoad(t, "heavy-account")
	heavy, light := serviceOf(t, load, experiment.Options{})
	_, without := serviceOf(t, load, experiment.Options{IgnoreAccounts: true})
	load.Bursts = nil
	calmHeavy, calm := serviceOf(t, load, experiment.Options{})
	t.Logf("light: %+v, without accounts %+v, without a burst %+v; heavy: %+v, without a burst %+v", light, without, calm, heavy, calmHeavy)
	if light.inTimeShare() < calm.inTimeShare()-maxLoss || light.refusedShare() > calm.refusedShare()+maxLoss {
		t.Errorf("light accounts have %.3f in time and %.3f refused, and %.3f and %.3f without the burst",
			light.inTimeShare(), light.refusedShare(), calm.inTimeShare(), calm.refusedShare())
	}
	if light.inTimeShare() <= without.inTimeShare() {
		t.Errorf("light accounts have %.3f in time, and %.3f without accounts", light.inTimeShare(), without.inTimeShare())
	}
	if heavy.served < calmHeavy.served {
		t.Errorf("the heavy account has %d jobs served, and %d without its burst", heavy.served, calmHeavy.served)
	}
}

// TestLargeJobsDoNotTakeTheCell checks that an account with large jobs that sends less than
// its weight takes no more than its share of the capacity while others wait.
func TestLargeJobsDoNotTakeTheCell(t *testing.T) {
	t.Parallel()
	load := readLoad(t, "heavy-account")
	load.Bursts = nil
	for i := range load.Accounts {
		if load.Accounts[i].Terms.Name == "heavy" {
			load.Accounts[i].TaskFactor = 8
		}
	}
	heavy, light := serviceOf(t, load, experiment.Options{})
	withoutHeavy, without := serviceOf(t, load, experiment.Options{IgnoreAccounts: true})
	t.Logf("light: %+v, without accounts %+v; heavy: %+v, without accounts %+v", light, without, heavy, withoutHeavy)
	if lost, before := 1-light.inTimeShare(), 1-without.inTimeShare(); lost > before/2 {
		t.Errorf("light accounts have %.3f of their jobs late or refused, and %.3f without accounts", lost, before)
	}
	if heavy.served == 0 {
		t.Error("the account with large jobs is not served at all")
	}
}

// A load with accounts must show what the callers of each get.
func TestOutputOfAccounts(t *testing.T) {
	load := readLoad(t, "heavy-account")
	load.Duration /= 10
	result := simulate(t, load, experiment.Options{Seed: 1})
	var text, jsonText bytes.Buffer
	if err := result.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	if err := result.WriteJSON(&jsonText); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"heavy", "light-01", "light-15"} {
		if !strings.Contains(text.String(), name) || !strings.Contains(jsonText.String(), `"`+name+`"`) {
			t.Errorf("the output does not show account %s:\n%s\n%s", name, &text, &jsonText)
		}
	}
}

func TestReadLoadNamesInvalidAccounts(t *testing.T) {
	_, err := experiment.ReadLoad(strings.NewReader(`{
		"Duration": "1s", "Askers": 1, "CommitTime": "1ms", "CallTime": "1ms",
		"Workers": {"Count": 1, "MilliCores": 1, "MemoryMB": 1, "PerRack": 1},
		"Queues": [{"Name": "q", "TargetLatency": "1s", "MeanSteps": 1, "MeanTasks": 1, "MilliCores": 1, "RunTime": "1s"}],
		"Accounts": [{"Name": "a", "Weight": -1}], "Bursts": [{"Account": "b", "At": "1s", "For": "1s"}]
	}`))
	for _, field := range []string{"Accounts[0].Weight", "Bursts[0].Account"} {
		if err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("the error does not name %s: %v", field, err)
		}
	}
}
