package logtrace_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cicadabarrow.example/cicadabarrow/internal/logtrace"
)

// TestTrace reads logs from testdata/trace and prints the trace of a job.
func TestTrace(t *testing.T) {
	var logs []string
	datadriven.RunTest(t, "testdata/trace", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "log":
			logs = append(logs, d.Input)
			return ""
		case "trace":
			trace := logtrace.New(d.CmdArgs[0].Key)
			for _, log := range logs {
				if err := trace.Read(strings.NewReader(log)); err != nil {
					t.Fatal(err)
				}
			}
			return strings.Join(trace.Lines(), "\n")
		}
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
		return ""
	})
}
