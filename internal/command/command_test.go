package command

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/urfave/cli/v3"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"cicadabarrow":   func() { os.Exit(Run(context.Background(), NotifySignals(), os.Args, os.Stdout, os.Stderr)) },
		signalledCommand: runSignalled,
	})
}

// TestScripts runs the command line as its users do. The variable SERVER is the
// base URL of a fake entry host that keeps one section in memory.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir:  "testdata/script",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"status": status},
		Setup: func(env *testscript.Env) error {
			server := httptest.NewServer(newFakeEntry())
			env.Defer(server.Close)
			env.Setenv("EXAMPLES", examples)
			env.Setenv("SERVER", server.URL)
			return nil
		},
	})
}

// status runs the command line with arguments and checks its exit status, as in
// "status 2 plan edit".
func status(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) == 0 {
		ts.Fatalf("usage: status N ARG...")
	}
	got := exitDone
	var exited *exec.ExitError
	if err := ts.Exec("cicadabarrow", args[1:]...); errors.As(err, &exited) {
		got = exited.ExitCode()
	} else if err != nil {
		ts.Fatalf("%v", err)
	}
	if strconv.Itoa(got) != args[0] {
		ts.Fatalf("exit status %d, want %s", got, args[0])
	}
}

func TestEveryCommandHasAnExample(t *testing.T) {
	if leaves := checkHelp(t, newRoot(NotifySignals(), io.Discard, io.Discard), "cicadabarrow"); leaves == 0 {
		t.Fatal("there is no command")
	}
}

// checkHelp checks the help of a command and its subcommands, and returns the
// number of commands without subcommands.
func checkHelp(t *testing.T, cmd *cli.Command, path string) int {
	_, line, found := strings.Cut(cmd.Description, "Example:\n  ")
	if !found || !strings.HasPrefix(line, path) {
		t.Errorf("%s has no example of its own: %q", path, line)
	}
	leaves := 0
	for _, inner := range cmd.Commands {
		leaves += checkHelp(t, inner, path+" "+inner.Name)
	}
	if len(cmd.Commands) > 0 {
		return leaves
	}
	if !slices.ContainsFunc(cmd.Flags, func(f cli.Flag) bool { return f.Names()[0] == flagFormat }) {
		t.Errorf("%s has no --%s", path, flagFormat)
	}
	return 1
}
