package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cicadabarrow.example/cicadabarrow/internal/document"
	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// examples matches the example settings of the project, one file for each data
// centre of the two deployments.
const (
	examples     = "../../examples/t*/*.json"
	exampleCount = 6
	fuzzSeed     = "../../examples/tsukushi/kita-hakata-1.json"
)

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob(examples)
	if err != nil || len(files) != exampleCount {
		t.Fatalf("examples: %v, %v", files, err)
	}
	for _, file := range files {
		s, err := Load(file)
		if err != nil {
			t.Errorf("%s: %v", file, err)
			continue
		}
		if s.Name+".json" != filepath.Base(file) || s.Advertise != s.PeerAddr {
			t.Errorf("%s: name %q, advertised address %v", file, s.Name, s.Advertise)
		}
	}
}

// TestRead reads documents from a data file. The command "edit" replaces text
// in a valid document: one "old => new" per line.
func TestRead(t *testing.T) {
	base, err := os.ReadFile("testdata/base.json")
	if err != nil {
		t.Fatal(err)
	}
	datadriven.RunTest(t, "testdata/read", func(t *testing.T, d *datadriven.TestData) string {
		text := d.Input
		if d.Cmd == "edit" {
			text = applyEdits(t, string(base), d.Input)
		}
		_, err := Read(strings.NewReader(text))
		return describeFaults(t, err)
	})
}

// describeFaults returns the faults of an error of KindInvalid, or "valid" if
// there is no error.
func describeFaults(t *testing.T, err error) string {
	t.Helper()
	if err == nil {
		return "valid\n"
	}
	var faults document.Faults
	if !errors.As(err, &faults) || !fault.Is(err, KindInvalid) {
		t.Fatalf("want an error of KindInvalid with faults: %v", err)
	}
	return faults.Error() + "\n"
}

func applyEdits(t *testing.T, text, edits string) string {
	for line := range strings.SplitSeq(edits, "\n") {
		from, to, ok := strings.Cut(line, " => ")
		if !ok || !strings.Contains(text, from) {
			t.Fatalf("edit does not match the document: %s", line)
		}
		text = strings.Replace(text, from, to, 1)
	}
	return text
}

func TestReadRejectsOversizedDocument(t *testing.T) {
	r := &endlessReader{}
	_, err := Read(r)
	if !fault.Is(err, KindInvalid) || r.read > 2*maxFileBytes {
		t.Fatalf("after %d bytes: %v", r.read, err)
	}
}

// endlessReader yields a document that never ends and counts the bytes read.
type endlessReader struct{ read int }

func (e *endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = ' '
	}
	e.read += len(p)
	return len(p), nil
}

func FuzzRead(f *testing.F) {
	base, err := os.ReadFile(fuzzSeed)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(string(base))
	f.Add(`{}`)
	f.Add(`{"Name":1,"Name":[{}],"Peers":{}} x`)
	f.Add(`{"Limits":{"Queue":1e99,"MaxBody":-1},"Lease":null}`)
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Read(strings.NewReader(text))
		if err != nil {
			if !fault.Is(err, KindInvalid) {
				t.Fatalf("want an error of KindInvalid: %v", err)
			}
			return
		}
		if s.Name == "" || !s.PeerAddr.IsValid() || 2*s.Lease.RenewEvery >= s.Lease.HostTTL {
			t.Fatalf("accepted %+v", s)
		}
	})
}
