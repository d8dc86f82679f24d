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

var rewrite = flag.Bool("rewrite", false, "write the golden files anew")

// loads is where the loads lie that users run as examples.
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

func play(t *testing.T, load experiment.Load, options experiment.Options) experiment.Result {
	t.Helper()
	result, err := experiment.Simulate(context.Background(), load, options)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

const seeds = 2

// inTime plays a load on a few seeds and returns the part of the jobs of each
// queue that kept their objective.
func inTime(t *testing.T, load experiment.Load, options experiment.Options) map[string]float64 {
	t.Helper()
	out := make(map[string]float64)
	for seed := range uint64(seeds) {
		options.Seed = seed + 1
		result := play(t, load, options)
		for i := range result.Queues {
			out[result.Queues[i].Name] += result.Queues[i].InTimeShare() / seeds
		}
	}
	return out
}

// Urgent work has to start within a second, however full the cell is of other
// work, and also while a sixth of the workers are slow or commits take 300 ms.
func TestUrgentWorkStartsWithinASecond(t *testing.T) {
	const target = time.Second
	for _, name := range []string{"full-cell", "large-jobs", "slow-store", "slow-workers"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			load := readLoad(t, name)
			for seed := range uint64(seeds) {
				result := play(t, load, experiment.Options{Seed: seed + 1})
				if wait := experiment.Quantile(result.Queues[0].Waits, 0.99); wait > target {
					t.Errorf("seed %d: one in a hundred urgent jobs waits %v", seed+1, wait)
				}
			}
		})
	}
}

// TestGains plays each load with and without a way of deciding: what the callers
// of the queue named get has to be better with it.
func TestGains(t *testing.T) {
	for _, c := range []struct {
		name, load, queue string
		without           experiment.Options
		askers            int
	}{
		{name: "advice asked by all hosts", load: "full-cell", queue: "settle", askers: 3},
		{
			name: "starts ahead of their record", load: "slow-store", queue: "hold",
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
			with := inTime(t, load, experiment.Options{})
			if c.askers > 0 {
				load.AdviceHosts = c.askers
			}
			without := inTime(t, load, c.without)
			t.Logf("%s in time: %.3f, without %.3f", c.queue, with[c.queue], without[c.queue])
			if with[c.queue] <= without[c.queue] {
				t.Errorf("%s: %.3f in time, and %.3f without", c.queue, with[c.queue], without[c.queue])
			}
		})
	}
}

func TestPlayRepeats(t *testing.T) {
	load := readLoad(t, "full-cell")
	first, second := play(t, load, experiment.Options{Seed: 7}), play(t, load, experiment.Options{Seed: 7})
	if !reflect.DeepEqual(first, second) {
		t.Error("two plays of one seed differ")
	}
}

func TestPlayEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := experiment.Simulate(ctx, readLoad(t, "full-cell"), experiment.Options{}); !errors.Is(err, context.Canceled) {
		t.Errorf("the play ends with %v", err)
	}
}

func TestOutput(t *testing.T) {
	result := play(t, readLoad(t, "full-cell"), experiment.Options{Seed: 1})
	var text, document bytes.Buffer
	if err := result.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	if err := result.WriteJSON(&document); err != nil {
		t.Fatal(err)
	}
	golden(t, "full-cell.txt", text.Bytes())
	golden(t, "full-cell.json", document.Bytes())
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
		t.Errorf("%s differs (write it anew with -rewrite):\n%s", path, got)
	}
}

func TestPlots(t *testing.T) {
	result := play(t, readLoad(t, "full-cell"), experiment.Options{Seed: 1})
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
		t.Errorf("a folder that is missing gives %v", err)
	}
}

func TestWrongLoadIsNamed(t *testing.T) {
	_, err := experiment.ReadLoad(strings.NewReader(`{
		"Duration": "soon", "Askers": 0, "CommitTime": "1ms", "CallTime": "1ms",
		"Workers": {"Count": 1, "MilliCores": 1, "MemoryMB": 1, "PerRack": 1},
		"Queues": [{"Name": "q", "TargetLatency": "1s", "MeanSteps": 1, "MeanTasks": 1, "MilliCores": 1, "RunTime": "1s"}],
		"Bursts": [{"Queue": "other", "At": "1s", "For": "1s"}], "Colour": 1
	}`))
	var faults document.Faults
	if !fault.Is(err, experiment.KindInvalid) || !errors.As(err, &faults) {
		t.Fatalf("a wrong load gives %v", err)
	}
	for _, field := range []string{"Duration", "Askers", "Bursts[0].Queue", "Colour"} {
		if !faults.Has(field) {
			t.Errorf("%s is not named in %v", field, err)
		}
	}
}
