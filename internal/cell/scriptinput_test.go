package cell_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

func registration(t *testing.T, id string, arg func(string) string, flag func(string) bool) cell.Registration {
	out := cell.Registration{
		ID: cell.WorkerID(id), Machine: "m-" + id, Service: "s", Capacity: job.Size{MilliCores: 8000, MemoryMB: 8000}, Leaving: flag("leaving"),
	}
	out.Incarnation = 1
	if v := arg("life"); v != "" {
		out.Incarnation = cell.Incarnation(parseInt(t, v))
	}
	if v := arg("renewal"); v != "" {
		out.Renewal = int64(parseInt(t, v))
	}
	if v := arg("machine"); v != "" {
		out.Machine = v
	}
	if v := arg("cores"); v != "" {
		out.Capacity.MilliCores = int64(parseInt(t, v)) * 1000
	}
	if v := arg("mb"); v != "" {
		out.Capacity.MemoryMB = int64(parseInt(t, v))
	}
	if v := arg("accelerators"); v != "" {
		out.Capacity.Accelerators = int64(parseInt(t, v))
	}
	if v := arg("service"); v != "" {
		out.Service = v
	}
	if v := arg("label"); v != "" {
		out.Labels = append(out.Labels, v)
	}
	return out
}

func stepWord(t *testing.T, step *workload.Step, word string) {
	key, value, _ := strings.Cut(word, "=")
	switch key {
	case "tasks":
		step.Tasks = parseInt(t, value)
	case "cores":
		step.Size.MilliCores = int64(parseInt(t, value)) * 1000
	case "accelerators":
		step.Size.Accelerators = int64(parseInt(t, value))
	case "after":
		step.After = append(step.After, parseInt(t, value))
	case "gang":
		step.Gang = true
	case "lasts":
		step.LongRunning = true
	case "saves":
		step.Checkpoints = true
	case "fills":
		step.BestEffort = true
	case "copies":
		step.Speculative = true
	case "target":
		step.LatencyTarget = parseDuration(t, value)
	case "same-rack":
		step.SameRack = true
	case "label":
		step.Label = value
	case "per-worker":
		step.MaxPerWorker = parseInt(t, value)
	case "away":
		step.MaxUnavailable, step.HasMaxUnavailable = parseInt(t, value), true
	case "estimate":
		step.Estimate = parseDuration(t, value)
	case "image":
		step.Image = value
	default:
		t.Fatalf("unknown word %q in a step", key)
	}
}

// report parses lines "running TASK RUN PERCENT [LOAD]" and "ended NUMBER TASK
// RUN KIND [CHECKPOINT]".
func report(t *testing.T, arg func(string) string, input string) cell.Report {
	out := cell.Report{Incarnation: 1, Clock: parseDuration(t, arg("clock"))}
	if v := arg("age"); v != "" {
		out.Age = parseDuration(t, v)
	}
	if v := arg("life"); v != "" {
		out.Incarnation = cell.Incarnation(parseInt(t, v))
	}
	for _, line := range strings.Split(input, "\n") {
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		switch f[0] {
		case "running":
			r := cell.Running{Task: parseTaskID(t, f[1]), Run: parseInt(t, f[2]), Percent: parseInt(t, f[3])}
			if len(f) > 4 {
				r.Load = float64(parseInt(t, f[4]))
			}
			out.Running = append(out.Running, r)
		case "ended":
			e := cell.Ended{
				Number: int64(parseInt(t, f[1])), Task: parseTaskID(t, f[2]), Run: parseInt(t, f[3]), Kind: cell.EndKind(f[4]),
			}
			if len(f) > 5 {
				e.Checkpoint = f[5]
			}
			out.Ended = append(out.Ended, e)
		default:
			t.Fatalf("unknown line %q in a report", line)
		}
	}
	return out
}

func parseTaskID(t *testing.T, name string) workload.TaskID {
	t.Helper()
	id, err := workload.ParseTaskID(name)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

func parseInt(t *testing.T, text string) int {
	t.Helper()
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func parseDuration(t *testing.T, text string) time.Duration {
	t.Helper()
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
