package knownred_test

import (
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/knownred"
)

var rewrite = flag.Bool("rewrite", false, "rewrite the expected results in testdata")

// TestRecordedRuns evaluates the recorded runs in testdata. Each file holds a
// list, the events of go test -json without times and stack traces, the expected
// output, and whether the run passes. The test logs nothing for a case that
// passes, because the text of a recorded data race in its log would fail the CI
// run that runs this test.
func TestRecordedRuns(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("testdata has no recorded run: %v", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) { checkRecordedRun(t, path) })
	}
}

func checkRecordedRun(t *testing.T, path string) {
	archive, err := txtar.ParseFile(path)
	if err != nil {
		t.Fatal(err)
	}
	sections := make(map[string]string)
	for _, f := range archive.Files {
		sections[f.Name] = string(f.Data)
	}
	got := evaluate(t, sections["list"], sections["events"])
	if *rewrite {
		for i := range archive.Files {
			if archive.Files[i].Name == "want" {
				archive.Files[i].Data = []byte(got)
			}
		}
		if err := os.WriteFile(path, txtar.Format(archive), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	if want := sections["want"]; got != want {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
}

func evaluate(t *testing.T, list, events string) string {
	entries, err := knownred.ReadList(strings.NewReader(list))
	if err != nil {
		if !fault.Is(err, knownred.KindInvalid) {
			t.Fatal(err)
		}
		return err.Error() + "\n"
	}
	var out strings.Builder
	run := knownred.New(&out)
	if err := run.Read(strings.NewReader(events)); err != nil {
		t.Fatal(err)
	}
	result := run.Evaluate(entries)
	if err := result.Write(&out); err != nil {
		t.Fatal(err)
	}
	if len(result.Failures) > 0 {
		return out.String() + "=> fails\n"
	}
	return out.String() + "=> passes\n"
}

func TestPartialRunLeavesOtherPackagesToAnotherRun(t *testing.T) {
	run := knownred.New(io.Discard)
	events := `{"Action":"start","Package":"a"}
{"Action":"run","Package":"a","Test":"TestX"}
{"Action":"fail","Package":"a","Test":"TestX"}
{"Action":"run","Package":"a","Test":"TestY"}
{"Action":"fail","Package":"a","Test":"TestY"}
{"Action":"output","Package":"a","Output":"FAIL\n"}
{"Action":"output","Package":"a","Output":"FAIL\ta\t0.1s\n"}
{"Action":"fail","Package":"a"}
{"Action":"exit","Code":1}
`
	if err := run.Read(strings.NewReader(events)); err != nil {
		t.Fatal(err)
	}
	list := knownred.List{{Package: "a", Test: "TestX", Issue: "1"}, {Package: "b", Test: "TestZ", Issue: "1"}}
	result := run.Evaluate(list.OfPackages(run))
	if len(result.KnownFailures) != 1 || len(result.Failures) != 1 || !strings.Contains(result.Failures[0], "TestY") {
		t.Errorf("evaluated to %+v", result)
	}
}
