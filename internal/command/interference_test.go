package command

import (
	"bytes"
	"testing"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/interference"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/settings"
)

func TestShowInterference(t *testing.T) {
	var out bytes.Buffer
	showInterference(&out, nil)
	if out.Len() > 0 {
		t.Errorf("an owner that learns nothing is shown as %q", out.String())
	}
	showInterference(&out, &api.CellInterference{Mode: "Observe", Classes: 4})
	showInterference(&out, &api.CellInterference{Mode: "Avoid", Classes: 5, Pairs: 2, Worst: []api.CellPair{
		{Image: "shop", Serving: true, Beside: "crunch", Loss: 0.504, Age: "1.2s"},
		// A client names the image, which must not write to the operator's terminal.
		{Image: "sort\x1b[2J", Beside: "mail", BesideServing: true, Loss: 0.06, Age: "3s"},
	}})
	const want = "Interference\tObserve\tClasses\t4\tPairs\t0\n" +
		"Interference\tAvoid\tClasses\t5\tPairs\t2\n" +
		"IMAGE\tBESIDE\tLOSS PER TASK\tOF\tLAST SEEN\n" +
		"shop (serving)\tcrunch\t50%\tlatency target\t1.2s\n" +
		"\"sort\\x1b[2J\"\tmail (serving)\t6%\tspeed\t3s\n"
	if out.String() != want {
		t.Errorf("shown as\n%s", out.String())
	}
}

// The setting has to reach the cell, where it takes effect.
func TestInterferenceSettingReachesTheCell(t *testing.T) {
	for _, mode := range []interference.Mode{interference.ModeOff, interference.ModeObserve, interference.ModeAvoid} {
		if got := hostConfig(settings.Host{Interference: mode}, peer.Host{}).Owner.Cell.Interference; got != mode {
			t.Errorf("%q in the settings is %q in the cell", mode, got)
		}
	}
}
