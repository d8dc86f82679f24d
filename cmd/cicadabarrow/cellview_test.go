package main

import (
	"os"
	"os/exec"
	"strings"
	"testing"
)

// TestHostsShowTheirCell asks every host with the command line who the owner is,
// which workers there are, and where the tasks of a job run.
func TestHostsShowTheirCell(t *testing.T) {
	f := newHostFleet(t, 3, 2)
	job := f.submit(plainQueue, "last", map[string]any{"count": 2, "cpu": 1000, "mem_mb": 100, "long_running": true})
	f.awaitState(plainQueue, "running", job)
	for _, h := range f.hosts {
		shown := f.command("cell", "show", "--at", "http://"+h.metrics.String())
		if !strings.Contains(shown, "Owner") || strings.Count(shown, "Ready") != 2 {
			t.Errorf("%s shows\n%s", h.name, shown)
		}
	}
	at := "http://" + f.hosts[0].metrics.String()
	if shown := f.command("cell", "job", job, "--at", at); strings.Count(shown, job+".0.0.") != 2 {
		t.Errorf("the job is shown as\n%s", shown)
	}
	if shown := f.command("cell", "job", "00000000000000ff", "--at", at); !strings.Contains(shown, "no job") {
		t.Errorf("an unknown job is shown as\n%s", shown)
	}
	if shown := f.command("cell", "show", "--at", at, "--format", "json"); !strings.Contains(shown, `"Epoch": 1`) {
		t.Errorf("the cell in JSON is\n%s", shown)
	}
	f.check()
}

// command runs the product's command line and returns all that it prints.
func (f *hostFleet) command(args ...string) string {
	self, err := os.Executable()
	if err != nil {
		f.t.Fatal(err)
	}
	cmd := exec.Command(self, args...)
	cmd.Env = append(os.Environ(), runVariable+"=1")
	out, _ := cmd.CombinedOutput()
	return string(out)
}
