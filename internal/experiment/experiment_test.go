package experiment_test

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/document"
	"cicadabarrow.example/cicadabarrow/internal/experiment"
	"cicadabarrow.example/cicadabarrow/internal/fault"
)

var rewrite = flag.Bool("rewrite", false, "rewrite the golden files")

// loads is the folder of the example loads that ship with the project.
const loads = "../../examples/loads"

func readLoad(t *testing.T, name string) experiment.Load {
	t.Helper()
	file, err := os.Open(filepath.Join(loads, name+".json"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	load, err := experiment.ReadLoad(file)
	if err != nil {
		t.Fatal(err)
	}
	return load
}

func simulate(t *testing.T, load experiment.Load, options experiment.Options) experiment.Result {
	t.Helper()
	result, err := experiment.Simulate(context.Background(), load, options)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

const seeds = 2

// inTimeShares simulates a load with a few seeds and returns the share of the
// jobs of each queue that met their objective.
func inTimeShares(t *testing.T, load experiment.Load, options experiment.Options) map[string]float64 {
	t.Helper()
	out := make(map[string]float64)
	for seed := range uint64(seeds) {
		options.Seed = seed + 1
		result := simulate(t, load, options)
		for i := range result.Queues {
			out[result.Queues[i].Name] += result.Queues[i].InTimeShare() / seeds
		}
	}
	return out
}

// TestUrgentWorkStartsWithinASecond checks that urgent jobs start within a second
// however much other work the cell has, also while a sixth of the workers are
// slow or commits take 300 ms.
func TestUrgentWorkStartsWithinASecond(t *testing.T) {
	const target = time.Second
	for _, name := range []string{"full-cell", "large-jobs", "slow-store", "slow-workers"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			load := readLoad(t, name)
			for seed := range uint64(seeds) {
				result := simulate(t, load, experiment.Options{Seed: seed + 1})
				if wait := experiment.Quantile(result.Queues[0].Waits, 0.99); wait > target {
					t.Errorf("seed %d: the 99th percentile of the wait of urgent jobs is %v", seed+1, wait)
				}
			}
		})
	}
}

// TestPoliciesImproveInTimeShare simulates each load as it is, and once more
// without one mechanism: with other options, or with another number of advice
// hosts. As it is, a larger share of the named queue's jobs has to meet its
// objective.
func TestPoliciesImproveInTimeShare(t *testing.T) {
	for _, c := range []struct {
		name, load, queue string
		without           experiment.Options
		adviceHosts       int
	}{
		{name: "advice asked by all hosts", load: "full-cell", queue: "settle", adviceHosts: 3},
		{
			name: "early starts", load: "slow-store", queue: "hold",
			without: experiment.Options{WaitForRecords: true},
		},
		{
			name: "stragglers are moved", load: "slow-workers", queue: "hold",
			without: experiment.Options{Policy: cell.Policy{NoReschedule: true}},
		},
		{
			name: "jobs by their due time", load: "large-jobs", queue: "settle",
			without: experiment.Options{Policy: cell.Policy{Order: cell.OrderArrival}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			load := readLoad(t, c.load)
			with := inTimeShares(t, load, experiment.Options{})
			if c.adviceHosts > 0 {
				load.AdviceHosts = c.adviceHosts
			}
			without := inTimeShares(t, load, c.without)
			t.Logf("%s in time: %.3f, without %.3f", c.queue, with[c.queue], without[c.queue])
			if with[c.queue] <= without[c.queue] {
				t.Errorf("%s: %.3f in time, and %.3f without", c.queue, with[c.queue], without[c.queue])
			}
		})
	}
}

func TestSimulateIsDeterministic(t *testing.T) {
	load := readLoad(t, "full-cell")
	first, second := simulate(t, load, experiment.Options{Seed: 7}), simulate(t, load, experiment.Options{Seed: 7})
	if !reflect.DeepEqual(first, second) {
		t.Error("two simulations with the same seed differ")
	}
}

func TestSimulateStopsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := experiment.Simulate(ctx, readLoad(t, "full-cell"), experiment.Options{}); !errors.Is(err, context.Canceled) {
		t.Errorf("the simulation ends with error %v, want context.Canceled", err)
	}
}

func TestOutput(t *testing.T) {
	result := simulate(t, readLoad(t, "full-cell"), experiment.Options{Seed: 1})
	var text, jsonText bytes.Buffer
	if err := result.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	if err := result.WriteJSON(&jsonText); err != nil {
		t.Fatal(err)
	}
	golden(t, "full-cell.txt", text.Bytes())
	golden(t, "full-cell.json", jsonText.Bytes())
}

func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *rewrite {
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs (rewrite it with -rewrite):\n%s", path, got)
	}
}

func TestPlots(t *testing.T) {
	result := simulate(t, readLoad(t, "full-cell"), experiment.Options{Seed: 1})
	folder := t.TempDir()
	if err := result.Plot(folder); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{experiment.WaitsPlot, experiment.PackingPlot} {
		drawn, err := os.ReadFile(filepath.Join(folder, name))
		if err != nil || !bytes.Contains(drawn, []byte("<svg")) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := result.Plot(filepath.Join(folder, "missing")); !fault.Is(err, experiment.KindUnwritten) {
		t.Errorf("plotting to a missing folder: error %v, want KindUnwritten", err)
	}
}

func TestReadLoadNamesInvalidFields(t *testing.T) {
	_, err := experiment.ReadLoad(strings.NewReader(`{
		"Duration": "soon", "Askers": 0, "CommitTime": "1ms", "CallTime": "1ms",
		"Workers": {"Count": 1, "MilliCores": 1, "MemoryMB": 1, "PerRack": 1},
		"Queues": [{"Name": "q", "TargetLatency": "1s", "MeanSteps": 1, "MeanTasks": 1, "MilliCores": 1, "RunTime": "1s"}],
		"Bursts": [{"Queue": "other", "At": "1s", "For": "1s"}], "Colour": 1
	}`))
	var faults document.Faults
	if !fault.Is(err, experiment.KindInvalid) || !errors.As(err, &faults) {
		t.Fatalf("reading an invalid load: error %v, want KindInvalid", err)
	}
	for _, field := range []string{"Duration", "Askers", "Bursts[0].Queue", "Colour"} {
		if !faults.Has(field) {
			t.Errorf("the error does not name %s: %v", field, err)
		}
	}
}
