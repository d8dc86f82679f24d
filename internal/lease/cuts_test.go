package lease

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestCuts simulates every row of the table in docs/design/cuts.md. The files
// under testdata show which host may act on which units, and when that changes.
// Run the test with -rewrite to rewrite them, and review the difference.
func TestCuts(t *testing.T) {
	datadriven.Walk(t, "testdata/cuts", func(t *testing.T, path string) {
		s := &cutSession{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out := s.run(t, d)
			if s.w.oracle.violation != "" {
				d.Fatalf(t, "%s", s.w.oracle.violation)
			}
			return out
		})
	})
}

// cutSession runs the commands of a test file on a world.
type cutSession struct {
	w *world
}

const forever = 1000 * time.Hour

func (s *cutSession) run(t *testing.T, d *datadriven.TestData) string {
	if d.Cmd == "hosts" {
		return s.hosts(t, d)
	}
	switch d.Cmd {
	case "run":
		span, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		return s.runAndRecord(span)
	case "cut", "heal":
		until := forever
		if d.Cmd == "heal" {
			until = 0
		}
		for _, arg := range d.CmdArgs {
			s.set(t, d, arg, s.w.now+until)
		}
		return ""
	case "kill", "boot", "leave":
		var host int
		d.ScanArgs(t, "host", &host)
		switch d.Cmd {
		case "kill":
			s.w.kill(host)
		case "boot":
			s.w.boot(host, d.HasArg("elsewhere"))
		case "leave":
			s.w.places[host].p.k.Leave()
		}
		return ""
	case "pause":
		var host int
		var length string
		d.ScanArgs(t, "host", &host)
		d.ScanArgs(t, "for", &length)
		span, err := time.ParseDuration(length)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		s.w.places[host].p.pause(span, d.HasArg("suspended"))
		return ""
	}
	d.Fatalf(t, "unknown command %s", d.Cmd)
	return ""
}

func (s *cutSession) hosts(t *testing.T, d *datadriven.TestData) string {
	n := 3
	cfg := DefaultConfig()
	d.MaybeScanArgs(t, "n", &n)
	if d.HasArg("extend") {
		var extend string
		d.ScanArgs(t, "extend", &extend)
		span, err := time.ParseDuration(extend)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		cfg.MaxExtension = span
	}
	s.w = newWorldOf(cfg, worldUnits, n, 1, omitNothing)
	s.w.run(time.Minute)
	var out strings.Builder
	for i := range s.w.places {
		fmt.Fprintf(&out, "entry-%02d acts on %s\n", i, s.actingUnits(i))
	}
	return out.String()
}

// set starts or ends one cut: "store=0", "store=all", "writes=0", "answers=0", or
// "link=0-1" for messages from one place to another.
func (s *cutSession) set(t *testing.T, d *datadriven.TestData, arg datadriven.CmdArg, until time.Duration) {
	for _, val := range arg.Vals {
		for i, pl := range s.w.places {
			if val != "all" && val != fmt.Sprint(i) {
				continue
			}
			switch arg.Key {
			case "store":
				pl.storeCutUntil = until
			case "writes":
				pl.writesLostUntil = until
			case "answers":
				pl.answersLostUntil = until
			}
		}
		if arg.Key != "link" {
			continue
		}
		var from, to int
		if _, err := fmt.Sscanf(val, "%d-%d", &from, &to); err != nil {
			d.Fatalf(t, "link %q: %v", val, err)
		}
		s.w.places[from].peerCutUntil[to] = until
	}
}

// actingUnits returns the units that the process at a place may act on now.
func (s *cutSession) actingUnits(i int) string {
	p := s.w.places[i].p
	if p == nil {
		return "nothing"
	}
	var units []string
	for _, u := range s.w.units {
		if g, ok := p.authority.Held[u]; ok && p.authority.MayAct(u, g.Epoch, p.latest()) == nil {
			units = append(units, string(u))
		}
	}
	if len(units) == 0 {
		return "nothing"
	}
	return strings.Join(units, ", ")
}

// runAndRecord runs the world and returns each change of the units that a host may
// act on, with a resolution of 100 ms.
func (s *cutSession) runAndRecord(span time.Duration) string {
	const step = 100 * time.Millisecond
	var out strings.Builder
	last := make([]string, len(s.w.places))
	for i := range last {
		last[i] = s.actingUnits(i)
	}
	for at := step; at <= span; at += step {
		s.w.run(step)
		for i := range last {
			if now := s.actingUnits(i); now != last[i] {
				fmt.Fprintf(&out, "+%v entry-%02d acts on %s\n", at, i, now)
				last[i] = now
			}
		}
	}
	if out.Len() == 0 {
		return "no change\n"
	}
	return out.String()
}
