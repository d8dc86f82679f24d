package knownred

import (
	"fmt"
	"io"
	"strings"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// Result is the result of comparing a run with a list of known-red tests.
type Result struct {
	// KnownFailures are the entries that failed as listed.
	KnownFailures []Entry
	// Passed are the entries whose test passed or, with a pattern, whose package
	// passed.
	Passed []Entry
	// Failures are the reasons why the run fails; not all are failed tests. The
	// run passes if there are none.
	Failures []string
}

// Evaluate compares the run with the list.
func (r *Run) Evaluate(list List) Result {
	result := Result{Failures: append([]string(nil), r.failures...)}
	result.checkExit(r)
	for _, name := range r.order {
		result.checkPackage(r.packages[name], list)
	}
	for _, e := range list {
		result.checkEntry(e, r.packages[e.Package])
	}
	return result
}

// checkExit checks that go test ended by itself and that its exit status is
// consistent with its events.
func (res *Result) checkExit(r *Run) {
	failed := 0
	for _, p := range r.packages {
		if p.result == actionFail {
			failed++
		}
	}
	switch {
	case !r.exited:
		res.addFailure("the exit status of go test is missing")
	case r.exitCode != 0 && r.exitCode != 1:
		res.addFailure("go test ended with status %d", r.exitCode)
	case (r.exitCode == 0) != (failed == 0):
		res.addFailure("go test ended with status %d and %d failed packages", r.exitCode, failed)
	case len(r.packages) == 0:
		res.addFailure("no package ran")
	}
}

func (res *Result) checkPackage(p *packageRun, list List) {
	if p.result == "" {
		res.addFailure("%s: did not end", p.name)
	}
	if p.race {
		res.addFailure("%s: data race", p.name)
	}
	failed := p.failedTests()
	for _, test := range failed {
		if !list.hasTest(p.name, test) && !p.failedBySubtests(test) {
			res.addFailure("%s: %s failed and is not listed", p.name, test)
		}
	}
	if p.result != actionFail {
		return
	}
	switch {
	case p.failedBuild:
		res.addFailure("%s: build, vet or setup failed", p.name)
	case len(failed) == 0:
		if e, ok := list.findPattern(p.name); !ok || !p.matches(e) {
			res.addFailure("%s: failed without a failed test", p.name)
		}
	case p.incompleteReason() != "":
		res.addFailure("%s: %s", p.name, p.incompleteReason())
	}
}

// checkEntry adds the outcome of an entry to the result. p is nil if the package
// of the entry did not run.
func (res *Result) checkEntry(e Entry, p *packageRun) {
	if p == nil {
		res.addFailure("stale entry, the package never ran: %s", e)
		return
	}
	if e.Pattern != "" {
		switch {
		case p.result == actionPass:
			res.Passed = append(res.Passed, e)
		case p.matches(e):
			res.KnownFailures = append(res.KnownFailures, e)
		}
		return
	}
	switch p.tests[e.Test] {
	case actionFail:
		res.KnownFailures = append(res.KnownFailures, e)
	case actionPass:
		res.Passed = append(res.Passed, e)
	case actionSkip:
		res.addFailure("a listed test was skipped: %s", e)
	case actionRun:
		res.addFailure("a listed test did not end: %s", e)
	default:
		res.addFailure("stale entry, the test never ran: %s", e)
	}
}

func (res *Result) addFailure(format string, args ...any) {
	res.Failures = append(res.Failures, fmt.Sprintf(format, args...))
}

// matches reports whether the output of the failed package contains the pattern
// of the entry and the package failed for no other reason.
func (p *packageRun) matches(e Entry) bool {
	if p.result != actionFail || p.failedBuild || p.race || len(p.failedTests()) > 0 {
		return false
	}
	text := p.outputText()
	return strings.Contains(text, e.Pattern) && !strings.Contains(text, "--- FAIL")
}

// failedBySubtests reports whether a test failed only because of its subtests,
// which are checked separately: one of them failed, and the test itself logged
// nothing. A test that logged something may have failed by itself too, so it must
// be listed.
func (p *packageRun) failedBySubtests(test string) bool {
	if p.logged[test] {
		return false
	}
	for _, other := range p.failedTests() {
		if strings.HasPrefix(other, test+"/") {
			return true
		}
	}
	return false
}

// Write prints the result, one finding per line.
func (res Result) Write(out io.Writer) error {
	var b strings.Builder
	for _, e := range res.KnownFailures {
		fmt.Fprintf(&b, "known red: %s\n", e)
	}
	for _, e := range res.Passed {
		fmt.Fprintf(&b, "known red, but passed: %s\n", e)
	}
	for _, text := range res.Failures {
		fmt.Fprintf(&b, "not known red: %s\n", text)
	}
	if _, err := io.WriteString(out, b.String()); err != nil {
		return fault.New("write verdict", KindUnwritable, "%w", err)
	}
	return nil
}
