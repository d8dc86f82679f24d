package owner

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
)

// TestTombstonesDue runs testdata/tombstones: which tombstones are deleted when, and which
// are forgotten. One that is deleted too early lets a submission in flight take effect, and
// one that is never deleted stays in the store.
func TestTombstonesDue(t *testing.T) {
	value, err := ledger.EncodeTombstone(ledger.Tombstone{Scopes: []manifest.JobScope{{Queue: "q"}}})
	if err != nil {
		t.Fatal(err)
	}
	var all *tombstones
	now := time.Unix(1_700_000_000, 0)
	var due []tombstone
	datadriven.RunTest(t, "testdata/tombstones", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "new":
			keepEnded, err := time.ParseDuration(d.CmdArgs[0].Key)
			if err != nil {
				t.Fatal(err)
			}
			all = newTombstones(keepEnded)
		case "rows":
			all.note(now, parseRows(t, d.Input, value))
		case "wait":
			passed, err := time.ParseDuration(d.CmdArgs[0].Key)
			if err != nil {
				t.Fatal(err)
			}
			now = now.Add(passed)
		case "due":
			due = all.due(now)
			var out strings.Builder
			for _, e := range due {
				fmt.Fprintf(&out, "%s/%s version %d\n", e.key.Partition, e.key.Name, e.version)
			}
			return out.String()
		case "deleted":
			all.forget(due, nil)
		case "conflict":
			all.forget(due, parseRows(t, d.Input, value))
		case "count":
			return fmt.Sprintln(len(all.versions))
		}
		return ""
	})
}

// parseRows parses lines "PARTITION NAME VERSION", which are tombstones unless the word
// "job" or "deleted" follows.
func parseRows(t *testing.T, input string, value []byte) []rowstore.Row {
	var out []rowstore.Row
	for _, line := range strings.Split(input, "\n") {
		f := strings.Fields(line)
		version, err := strconv.ParseUint(f[2], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		row := rowstore.Row{Key: rowstore.Key{Table: ledger.TableIntake, Partition: f[0], Name: f[1]}, Version: version, Value: value}
		if len(f) > 3 {
			row.Value, row.Deleted = []byte{0}, f[3] == "deleted"
		}
		out = append(out, row)
	}
	return out
}
