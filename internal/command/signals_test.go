package command

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"

	"cicadabarrow.example/cicadabarrow/internal/processtest"
)

// signalledCommand is the name under which the test binary runs the command line
// after it has received signals.
const signalledCommand = "signalled-cicadabarrow"

var signalsByName = map[string]syscall.Signal{
	"SIGHUP": syscall.SIGHUP, "SIGINT": syscall.SIGINT, "SIGTERM": syscall.SIGTERM,
}

// runSignalled receives the signals that its first argument names, separated by
// commas, and runs the command line of the other arguments then.
func runSignalled() {
	signals := NotifySignals()
	for name := range strings.SplitSeq(os.Args[1], ",") {
		received := signals.stops
		if name == "SIGHUP" {
			received = signals.hangups
		}
		if err := raise(signalsByName[name]); err != nil {
			panic(err)
		}
		for len(received) == 0 {
			runtime.Gosched()
		}
	}
	args := append([]string{"cicadabarrow"}, os.Args[2:]...)
	os.Exit(Run(context.Background(), signals, args, os.Stdout, os.Stderr))
}

// TestSignalBeforeCommandLine guards against the loss of a signal that a process has
// received before it reads its command line, and against one that ends a server
// which handles it. The settings of the commands that the signal has to end can't be
// read to their end, so that the commands don't end by themselves.
func TestSignalBeforeCommandLine(t *testing.T) {
	const changed = "the settings file has changed"
	for _, c := range []struct {
		received string
		command  string
		// endedBy is the signal that ends the process; without one its exit status is 0.
		endedBy syscall.Signal
	}{
		{received: "SIGTERM", command: "host --settings host.json"},
		{received: "SIGINT", command: "host --settings host.json"},
		{received: "SIGHUP,SIGTERM", command: "host --settings host.json"},
		{received: "SIGTERM", command: "standin --settings standin.json"},
		{received: "SIGHUP", command: "standin --settings endless.json", endedBy: syscall.SIGHUP},
		{received: "SIGHUP", command: "serve --settings endless.json", endedBy: syscall.SIGHUP},
		{received: "SIGHUP", command: "settings check endless.json", endedBy: syscall.SIGHUP},
		{received: "SIGINT", command: "settings check endless.json", endedBy: syscall.SIGINT},
		{received: "SIGTERM", command: "settings check endless.json", endedBy: syscall.SIGTERM},
	} {
		t.Run(c.received+" "+c.command, func(t *testing.T) {
			dir := newSettingsFolder(t)
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), conditionTimeout)
			defer cancel()
			cmd := exec.CommandContext(ctx, signalledCommand, append([]string{c.received}, strings.Fields(c.command)...)...)
			cmd.Dir = dir
			var output bytes.Buffer
			cmd.Stdout, cmd.Stderr = &output, &output
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			_ = cmd.Wait()
			status := cmd.ProcessState.Sys().(syscall.WaitStatus)
			if c.endedBy != 0 {
				if !status.Signaled() || status.Signal() != c.endedBy {
					t.Errorf("%v, want an end by %v:\n%s", cmd.ProcessState, c.endedBy, &output)
				}
				return
			}
			if !cmd.ProcessState.Success() {
				t.Errorf("%v, want status 0:\n%s", cmd.ProcessState, &output)
			}
			// The settings are read after the signal, so they are the changed ones.
			if strings.Contains(output.String(), changed) {
				t.Errorf("%q is logged of a change before the settings were read:\n%s", changed, &output)
			}
		})
	}
}

// newSettingsFolder returns a folder with settings of a host and of a stand-in, and
// with a file of settings that has no end.
func newSettingsFolder(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	peer, client, health, standIn := processtest.FreeAddr(t), processtest.FreeAddr(t), processtest.FreeAddr(t), processtest.FreeAddr(t)
	host := fmt.Sprintf(`{"Name": "host-1", "Region": "r", "DataCentre": "dc-1", "MemoryMB": 284, "Fenced": true,
		"PeerAddr": "%v", "ClientAddr": "%v", "HealthAddr": "%v",
		"StoreAddr": "127.0.0.1:1", "AdviceAddr": "127.0.0.1:1",
		"Bounds": {"MaxLease": "6s", "StopGrace": "6s", "KeepEnded": "2m"}}`, peer, client, health)
	platform := fmt.Sprintf(`{"Addr": "%v", "Deployment": "tsukushi", "Seed": 1, "HostLag": "0s",
		"EntryHosts": [{"Name": "kita-hakata-1", "DataCentre": "kita-hakata", "PeerAddr": "%v"}]}`, standIn, peer)
	for name, body := range map[string]string{"host.json": host, "standin.json": platform} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(body), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := syscall.Mkfifo(filepath.Join(dir, "endless.json"), 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}
