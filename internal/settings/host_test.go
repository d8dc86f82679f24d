package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cicadabarrow.example/cicadabarrow/internal/interference"
)

// hostExamples matches example settings of hosts on the users' platform, one
// for each of the two deployments.
const hostExamples = "../../examples/platform/*.json"

func TestHostExamplesAreValid(t *testing.T) {
	const count = 2
	files, err := filepath.Glob(hostExamples)
	if err != nil || len(files) != count {
		t.Fatalf("examples: %v, %v", files, err)
	}
	for _, file := range files {
		s, err := LoadHost(file)
		if err != nil {
			t.Errorf("%s: %v", file, err)
			continue
		}
		if s.Name+".json" != filepath.Base(file) || len(s.Seeds) == 0 {
			t.Errorf("%s: name %q, seeds %v", file, s.Name, s.Seeds)
		}
	}
}

func TestHostCapacityIsOptional(t *testing.T) {
	base, err := os.ReadFile("../../examples/platform/centro-a-1.json")
	if err != nil {
		t.Fatal(err)
	}
	const capacityFields = `  "ProcessorShare": 0.4,
  "LinkMbps": 1000.0,
`
	s, err := ReadHost(strings.NewReader(string(base)))
	if err != nil || s.Cores != 0.4 || s.LinkMbps != 1000 {
		t.Errorf("%v cores, %v Mbit/s, error %v", s.Cores, s.LinkMbps, err)
	}
	without := strings.Replace(string(base), capacityFields, "", 1)
	s, err = ReadHost(strings.NewReader(without))
	if err != nil || without == string(base) || s.Cores != 0 || s.LinkMbps != 0 {
		t.Errorf("without: %v cores, %v Mbit/s, error %v", s.Cores, s.LinkMbps, err)
	}
}

// A host whose settings do not tell how many writes the store takes must be able to write
// tombstones, or it could not answer the cancel of a job that does not exist.
func TestStoreWritesAreOptional(t *testing.T) {
	base, err := os.ReadFile("../../examples/platform/centro-a-1.json")
	if err != nil {
		t.Fatal(err)
	}
	for field, want := range map[string]float64{`  "StoreWrites": 800,` + "\n": 800, "": defaultStoreWrites} {
		text := strings.Replace(string(base), `  "StoreWrites": 800,`+"\n", field, 1)
		if s, err := ReadHost(strings.NewReader(text)); err != nil || s.StoreWrites != want {
			t.Errorf("%q: %v, %v", field, s.StoreWrites, err)
		}
	}
}

// An unset or unknown mode must not turn the avoidance of interference on.
func TestInterferenceIsOffByDefault(t *testing.T) {
	base, err := os.ReadFile("../../examples/platform/centro-a-1.json")
	if err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]interference.Mode{
		"": interference.ModeOff, `"Interference": "Off",`: interference.ModeOff,
		`"Interference": "Observe",`: interference.ModeObserve, `"Interference": "Avoid",`: interference.ModeAvoid,
	} {
		s, err := ReadHost(strings.NewReader(strings.Replace(string(base), "{", "{"+text, 1)))
		if err != nil || s.Interference != want {
			t.Errorf("%q: %q, %v", text, s.Interference, err)
		}
	}
}

// TestReadHost reads settings of a host with edits from a data file. The command
// "edit" replaces text in a valid document: one "old => new" per line.
func TestReadHost(t *testing.T) {
	base, err := os.ReadFile("../../examples/platform/centro-a-1.json")
	if err != nil {
		t.Fatal(err)
	}
	datadriven.RunTest(t, "testdata/host", func(t *testing.T, d *datadriven.TestData) string {
		_, err := ReadHost(strings.NewReader(applyEdits(t, string(base), d.Input)))
		return describeFaults(t, err)
	})
}
