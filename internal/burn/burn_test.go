package burn_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/uber-go/tally/v4"

	"cicadabarrow.example/cicadabarrow/internal/burn"
	"cicadabarrow.example/cicadabarrow/internal/plan"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

type fixedPlan struct{ document plan.Document }

func (f fixedPlan) Document() plan.Document { return f.document }

func sections() plan.Document {
	return plan.Document{"payments": {Team: "payments", Objectives: []plan.Objective{
		{
			Name: "quick-checks", Of: "escrow-desk", Kind: plan.ObjectiveLatency, Target: 0.99,
			Threshold: 200 * time.Millisecond, Window: 24 * time.Hour,
		},
		{Name: "checks-succeed", Of: "escrow-desk", Kind: plan.ObjectiveSuccess, Target: 0.999, Window: time.Hour},
		{
			Name: "renders-start", Of: "proof", Kind: plan.ObjectiveStartWait, Target: 0.9,
			Threshold: time.Second, Window: time.Hour,
		},
	}}}
}

// TestReports runs the scripts under testdata, which record events on two hosts,
// advance the time and print reports in each format. With the argument lost, a
// report lacks the second host as unreached.
func TestReports(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if strings.HasSuffix(path, ".html") {
			return
		}
		timers := timer.NewManual(time.Unix(1_800_000_000, 0))
		hosts := map[string]*burn.Recorder{}
		for _, name := range []string{"entry-0", "entry-1"} {
			hosts[name] = burn.New(fixedPlan{sections()}, timers, tally.NoopScope)
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var host, text string
			count := 1
			d.MaybeScanArgs(t, "host", &host)
			d.MaybeScanArgs(t, "took", &text)
			d.MaybeScanArgs(t, "count", &count)
			took, _ := time.ParseDuration(text)
			switch d.Cmd {
			case "request":
				for range count {
					hosts[host].Request("escrow-desk", took, !d.HasArg("failed"))
				}
				return ""
			case "start":
				for range count {
					hosts[host].FirstStarted("payments", "proof", took)
				}
				return ""
			case "pass":
				timers.Advance(took)
				return ""
			}
			var counts []burn.HostCounts
			var unreached []string
			for _, name := range []string{"entry-0", "entry-1"} {
				if d.HasArg("lost") && name == "entry-1" {
					unreached = append(unreached, name)
					continue
				}
				counts = append(counts, burn.HostCounts{Host: name, Objectives: hosts[name].Snapshot()})
			}
			report := burn.Merge(sections(), counts, unreached, timers.Now())
			var out bytes.Buffer
			write := report.Text
			if d.Cmd == "json" {
				write = report.JSON
			}
			if err := write(&out); err != nil {
				t.Fatal(err)
			}
			return out.String()
		})
	})
}

// TestPageIsSelfContained checks that the HTML page has nothing that a browser
// would have to fetch, and that it escapes the names of hosts. BURN_PAGE names a
// file to which the page is written.
func TestPageIsSelfContained(t *testing.T) {
	timers := timer.NewManual(time.Unix(1_800_000_000, 0))
	r := burn.New(fixedPlan{sections()}, timers, tally.NoopScope)
	for minute := range 50 {
		for n := range 100 {
			r.Request("escrow-desk", time.Duration(n+minute)*2*time.Millisecond, n+minute < 140)
		}
		timers.Advance(time.Minute)
	}
	var out bytes.Buffer
	report := burn.Merge(sections(), []burn.HostCounts{{Host: "entry-0", Objectives: r.Snapshot()}}, []string{"entry-1<b>"}, timers.Now())
	if err := report.HTML(&out); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	for _, forbidden := range []string{"http:", "https:", "src=", "@import", "url(", "<script", "entry-1<b>"} {
		if strings.Contains(text, forbidden) {
			t.Errorf("the page contains %q", forbidden)
		}
	}
	if got := strings.Count(text, "<rect"); got != 3*60 {
		t.Errorf("the charts have %d bars, want 180", got)
	}
	if file := os.Getenv("BURN_PAGE"); file != "" {
		if err := os.WriteFile(filepath.Clean(file), out.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}
