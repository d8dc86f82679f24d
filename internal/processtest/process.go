package processtest

import (
	"os"
	"os/exec"
	"testing"
)

// Process is a program that runs as a child process of the test and writes to a log file.
type Process struct {
	Name string
	// LogFile has what all runs of the program have written.
	LogFile string
	// Cmd is the running program, and Exited is closed once it has ended. Both are set by
	// Start.
	Cmd    *exec.Cmd
	Exited chan struct{}
	// OnExit is called when a run has ended, before Exited is closed; it may be nil.
	OnExit func(state *os.ProcessState)
}

// Start starts the program with arguments, and with further variables of the form
// NAME=VALUE. One that has ended may be started again.
func (p *Process) Start(t *testing.T, binary string, args []string, variables ...string) {
	t.Helper()
	log, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), variables...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan struct{})
	p.Cmd, p.Exited = cmd, exited
	go func() {
		defer close(exited)
		defer log.Close()
		_ = cmd.Wait()
		if p.OnExit != nil {
			p.OnExit(cmd.ProcessState)
		}
	}()
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	_ = p.Cmd.Process.Kill()
	<-p.Exited
}

// Signal sends a signal to the process. An error fails the test.
func (p *Process) Signal(t *testing.T, s os.Signal) {
	t.Helper()
	if err := p.Cmd.Process.Signal(s); err != nil {
		t.Errorf("signal %v to %s: %v", s, p.Name, err)
	}
}

// Log returns the log so far.
func (p *Process) Log() string {
	log, _ := os.ReadFile(p.LogFile)
	return string(log)
}

// LogTail returns the end of the log, for the message of a test that fails.
func (p *Process) LogTail() string {
	const shown = 4000
	log := p.Log()
	return log[max(0, len(log)-shown):]
}
