package command

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// conditionTimeout bounds the wait for a condition. The product does not
	// guarantee this time.
	conditionTimeout = 60 * time.Second
	conditionPoll    = 50 * time.Millisecond
	// servePorts is the number of free ports that each script gets.
	servePorts = 8
)

// TestServe runs the stand-in platform and entry hosts as processes. The variables
// PORT0 and so on of a script hold free ports; "expand FILE..." expands variables
// in files, and "until REGEXP COMMAND..." repeats a command until its standard
// output matches.
func TestServe(t *testing.T) {
	examples, err := filepath.Abs("../../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/serve",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"status": status, "expand": expand, "until": until,
		},
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examples)
			for i, port := range freePorts(t, servePorts) {
				env.Setenv(fmt.Sprintf("PORT%d", i), port)
			}
			return nil
		},
	})
}

// freePorts returns loopback ports on which nothing listens.
func freePorts(t *testing.T, n int) []string {
	var ports []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		_, port, _ := net.SplitHostPort(l.Addr().String())
		ports = append(ports, port)
	}
	return ports
}

func expand(ts *testscript.TestScript, _ bool, files []string) {
	for _, name := range files {
		path := ts.MkAbs(name)
		ts.Check(os.WriteFile(path, []byte(os.Expand(ts.ReadFile(name), ts.Getenv)), 0o600))
	}
}

func until(ts *testscript.TestScript, _ bool, args []string) {
	want, err := regexp.Compile(args[0])
	ts.Check(err)
	poll := time.NewTicker(conditionPoll)
	defer poll.Stop()
	for end := time.Now().Add(conditionTimeout); time.Now().Before(end); <-poll.C {
		_ = ts.Exec(args[1], args[2:]...)
		if want.MatchString(ts.ReadFile("stdout")) {
			return
		}
	}
	ts.Fatalf("never matched %q: %s%s", args[0], ts.ReadFile("stdout"), strings.TrimSpace(ts.ReadFile("stderr")))
}
