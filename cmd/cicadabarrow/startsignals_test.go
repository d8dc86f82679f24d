package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"cicadabarrow.example/cicadabarrow/internal/processtest"
)

// TestSignalWhileSettingsAreRead guards against hosts that handle signals only once
// they have read their settings: SIGTERM must end the host with status 0, and SIGHUP,
// which ended it when its handler was installed late, must only be logged. The
// settings are read from a pipe, so that each host still reads them when its signal
// arrives.
func TestSignalWhileSettingsAreRead(t *testing.T) {
	f := newHostFleet(t, 1, 1)
	for _, c := range []struct {
		name   string
		signal syscall.Signal
		logged string
	}{
		{"host-2", syscall.SIGTERM, "stopping"},
		{"host-3", syscall.SIGHUP, "the settings file has changed"},
	} {
		t.Run(c.signal.String(), func(t *testing.T) {
			dir := t.ArtifactDir()
			h := f.newHost(dir, c.name)
			pipe := startOnPipe(t, &h.Process, dir)
			h.Signal(t, c.signal)
			settings, err := os.ReadFile(filepath.Join(dir, c.name+".json"))
			if err == nil {
				_, err = pipe.Write(settings)
			}
			if err != nil {
				t.Errorf("the host does not read its settings to their end: %v", err)
			}
			_ = pipe.Close()
			processtest.Await(t, "the signal is logged", func() bool { return ended(h.Exited) || strings.Contains(h.Log(), c.logged) }, h.Log)
			if c.signal != syscall.SIGTERM && !ended(h.Exited) {
				h.Signal(t, syscall.SIGTERM)
			}
			processtest.Await(t, "the host has ended", func() bool { return ended(h.Exited) }, h.Log)
			if !h.Cmd.ProcessState.Success() || !strings.Contains(h.Log(), c.logged) {
				t.Errorf("%v, want status 0, and %q in the log:\n%s", h.Cmd.ProcessState, c.logged, h.Log())
			}
		})
	}
}

// startOnPipe starts a host whose settings are a pipe, and returns the end to write
// them to once the host has opened it.
func startOnPipe(t *testing.T, p *processtest.Process, dir string) *os.File {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, p.Name+".pipe")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	p.Start(t, self, []string{"host", "--settings", path}, runVariable+"=1")
	t.Cleanup(p.Kill)
	var pipe *os.File
	processtest.Await(t, "the host reads its settings", func() bool {
		// There is an error until a process has opened the pipe for reading.
		pipe, err = os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err == nil
	}, p.Log)
	return pipe
}

func ended(exited <-chan struct{}) bool {
	select {
	case <-exited:
		return true
	default:
		return false
	}
}
