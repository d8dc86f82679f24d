package interference_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cicadabarrow.example/cicadabarrow/internal/interference"
	"cicadabarrow.example/cicadabarrow/internal/job"
)

// TestScripts runs the scripts of testdata/script: sessions of one model in virtual time,
// with workers whose tasks follow a hidden model of interference.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/script", func(t *testing.T, path string) {
		s := &script{now: time.Unix(1_700_000_000, 0), model: interference.New()}
		datadriven.RunTest(t, path, s.command)
	})
}

type script struct {
	now   time.Time
	model *interference.Model
}

func (s *script) command(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "play":
		s.play(t, d)
	case "advance":
		for range parseInt(t, d.CmdArgs[0].Key) {
			s.now = s.now.Add(time.Second)
			s.model.Refresh(s.now, s.model.Classes())
		}
	case "pairs":
		return s.pairs()
	case "changes":
		return s.changes()
	case "penalty":
		return s.penalty(t, d)
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return ""
}

// neighbour is a line "beside" of a play: an image that is present with a chance, or
// exactly when another one is.
type neighbour struct {
	image  string
	chance float64
	with   string
	tasks  float64
	harm   float64
}

// play has workers observe a task with random neighbours every 500 ms. The first line is
// the task, the others are its neighbours.
func (s *script) play(t *testing.T, d *datadriven.TestData) {
	seconds, workers, seed := 10, 4, 1
	noise := 0.0
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "seconds":
			seconds = parseInt(t, a.Vals[0])
		case "workers":
			workers = parseInt(t, a.Vals[0])
		case "seed":
			seed = parseInt(t, a.Vals[0])
		case "noise":
			noise = parseFloat(t, a.Vals[0])
		default:
			t.Fatalf("unknown argument %q", a.Key)
		}
	}
	lines := strings.Split(strings.TrimSpace(d.Input), "\n")
	task, base, serving := parseTask(t, lines[0])
	neighbours := make([]neighbour, 0, len(lines))
	for _, line := range lines[1:] {
		neighbours = append(neighbours, parseNeighbour(t, line))
	}
	random := rand.New(rand.NewPCG(uint64(seed), 0))
	for tick := range seconds * 2 {
		s.now = s.now.Add(500 * time.Millisecond)
		for w := range workers {
			s.model.Observe(s.now, observation(random, fmt.Sprintf("w%d", w), task, serving, base, noise, neighbours))
		}
		if tick%2 == 1 {
			s.model.Refresh(s.now, s.model.Classes())
		}
	}
}

// observation draws who is present on a worker, and gives the task the loss that its
// neighbours cause.
func observation(
	random *rand.Rand, worker, task string, serving bool, base, noise float64, neighbours []neighbour,
) interference.Observation {
	own := interference.Class{Image: task, Serving: serving}
	out := interference.Observation{Worker: worker, Presences: []interference.Presence{{Class: own, Tasks: 1}}}
	loss := 0.0
	present := make(map[string]bool)
	for _, n := range neighbours {
		there := random.Float64() < n.chance
		if n.with != "" {
			there = present[n.with]
		}
		if !there {
			continue
		}
		present[n.image] = true
		loss += n.harm * n.tasks
		class := interference.Class{Image: n.image}
		if n.image == task {
			class = own
		}
		out.Presences = append(out.Presences, interference.Presence{Class: class, Tasks: n.tasks})
	}
	loss += noise * random.NormFloat64()
	value := base + loss
	if !serving {
		value = base * max(1-loss, 0)
	}
	out.Measured = []interference.Measurement{{Class: own, Size: job.Size{MilliCores: 1000}, Own: 1, Value: max(value, 0)}}
	return out
}

func parseTask(t *testing.T, line string) (image string, base float64, serving bool) {
	f := strings.Fields(line)
	if len(f) != 3 || f[0] != "serves" && f[0] != "computes" {
		t.Fatalf("%q is neither \"serves IMAGE LATENCY\" nor \"computes IMAGE RATE\"", line)
	}
	return f[1], parseFloat(t, f[2]), f[0] == "serves"
}

func parseNeighbour(t *testing.T, line string) neighbour {
	f := strings.Fields(line)
	if len(f) < 2 || f[0] != "beside" {
		t.Fatalf("%q is not a neighbour", line)
	}
	n := neighbour{image: f[1], chance: 1, tasks: 1}
	for _, word := range f[2:] {
		key, value, _ := strings.Cut(word, "=")
		switch key {
		case "chance":
			n.chance = parseFloat(t, value)
		case "with":
			n.with = value
		case "tasks":
			n.tasks = parseFloat(t, value)
		case "harm":
			n.harm = parseFloat(t, value)
		default:
			t.Fatalf("unknown word %q", word)
		}
	}
	return n
}

// pairs prints the known pairs by name, since losses that are equal but for rounding errors
// have no order that is the same on all processors.
func (s *script) pairs() string {
	var lines []string
	for _, p := range s.model.Worst(s.now, 100) {
		lines = append(lines, fmt.Sprintf("%s loses %.1f beside %s, seen %v ago\n", name(p.Task), p.Loss, name(p.Beside), p.Age.Round(time.Second)))
	}
	slices.Sort(lines)
	return strings.Join(lines, "") + fmt.Sprintf("%d classes, %d pairs\n", s.model.Classes(), s.model.Pairs())
}

func (s *script) changes() string {
	changes, omitted := s.model.TakeChanges()
	var out strings.Builder
	for _, c := range changes {
		fmt.Fprintf(&out, "%s beside %s known=%v\n", name(c.Task), name(c.Beside), c.Known)
	}
	if omitted > 0 {
		fmt.Fprintf(&out, "%d more\n", omitted)
	}
	return out.String()
}

// penalty prints the penalty of the first argument beside the others, which are written
// IMAGE or IMAGE=TASKS. Tasks that serve end in an asterisk.
func (s *script) penalty(t *testing.T, d *datadriven.TestData) string {
	var beside []interference.Presence
	for _, a := range d.CmdArgs[1:] {
		tasks := 1.0
		if len(a.Vals) > 0 {
			tasks = parseFloat(t, a.Vals[0])
		}
		beside = append(beside, interference.Presence{Class: class(a.Key), Tasks: tasks})
	}
	return fmt.Sprintf("%.1f\n", s.model.Penalty(s.now, class(d.CmdArgs[0].Key), beside))
}

func name(c interference.Class) string {
	if c.Serving {
		return c.Image + "*"
	}
	return c.Image
}

func class(text string) interference.Class {
	image, serving := strings.CutSuffix(text, "*")
	return interference.Class{Image: image, Serving: serving}
}

func parseInt(t *testing.T, text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func parseFloat(t *testing.T, text string) float64 {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return f
}
