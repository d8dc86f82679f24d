package knownred

import (
	"fmt"
	"io"
	"strings"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// Result is what a list of known-red tests makes of a run.
type Result struct {
	// KnownFailures are the entries that failed and were passed over.
	KnownFailures []Entry
	// Passed are the entries that did not fail.
	Passed []Entry
	// Failures say why the run fails. Without one it passes.
	Failures []string
}

// Evaluate compares the run with the list.
func (r *Run) Evaluate(list List) Result {
	v := Result{Failures: append([]string(nil), r.faults...)}
	v.judgeExit(r)
	for _, name := range r.order {
		v.judgePackage(r.packages[name], list)
	}
	for _, e := range list {
		v.judgeEntry(e, r.packages[e.Package])
	}
	return v
}

// judgeExit checks that go test ended by itself and that its exit status agrees
// with its events.
func (v *Result) judgeExit(r *Run) {
	failed := 0
	for _, p := range r.packages {
		if p.result == actionFail {
			failed++
		}
	}
	switch {
	case !r.exited:
		v.fail("the exit status of go test is missing")
	case r.code != 0 && r.code != 1:
		v.fail("go test ended with status %d", r.code)
	case (r.code == 0) != (failed == 0):
		v.fail("go test ended with status %d and %d failed packages", r.code, failed)
	case len(r.packages) == 0:
		v.fail("no package ran")
	}
}

func (v *Result) judgePackage(p *packageRun, list List) {
	if p.result == "" {
		v.fail("%s: did not end", p.name)
	}
	if p.race {
		v.fail("%s: data race", p.name)
	}
	failed := p.failed()
	for _, test := range failed {
		if !list.test(p.name, test) && !p.failedBySubtests(test) {
			v.fail("%s: %s failed and is not listed", p.name, test)
		}
	}
	if p.result != actionFail {
		return
	}
	switch {
	case p.failedBuild:
		v.fail("%s: build, vet or setup failed", p.name)
	case len(failed) == 0:
		if e, ok := list.pattern(p.name); !ok || !p.matches(e) {
			v.fail("%s: failed, and no test is named", p.name)
		}
	case p.brokenOff() != "":
		v.fail("%s: %s", p.name, p.brokenOff())
	}
}

// judgeEntry says what became of an entry; p is nil if its package never ran.
func (v *Result) judgeEntry(e Entry, p *packageRun) {
	if p == nil {
		v.fail("stale entry, the package never ran: %s", e)
		return
	}
	if e.Pattern != "" {
		switch {
		case p.result == actionPass:
			v.Passed = append(v.Passed, e)
		case p.matches(e):
			v.KnownFailures = append(v.KnownFailures, e)
		}
		return
	}
	switch p.tests[e.Test] {
	case actionFail:
		v.KnownFailures = append(v.KnownFailures, e)
	case actionPass:
		v.Passed = append(v.Passed, e)
	case actionSkip:
		v.fail("a listed test was skipped: %s", e)
	case actionRun:
		v.fail("a listed test did not end: %s", e)
	default:
		v.fail("stale entry, the test never ran: %s", e)
	}
}

func (v *Result) fail(format string, args ...any) {
	v.Failures = append(v.Failures, fmt.Sprintf(format, args...))
}

// matches reports whether the package failed as the entry's pattern says, and
// for nothing else.
func (p *packageRun) matches(e Entry) bool {
	if p.result != actionFail || p.failedBuild || p.race || len(p.failed()) > 0 {
		return false
	}
	text := p.text()
	return strings.Contains(text, e.Pattern) && !strings.Contains(text, "--- FAIL")
}

// failedBySubtests reports whether a failed test has failed subtests, which are
// judged by themselves, and wrote nothing of its own. A test that did may have
// failed for itself too, so that it must be listed.
func (p *packageRun) failedBySubtests(test string) bool {
	if p.logged[test] {
		return false
	}
	for _, other := range p.failed() {
		if strings.HasPrefix(other, test+"/") {
			return true
		}
	}
	return false
}

// Write prints the verdict, one line a finding.
func (v Result) Write(out io.Writer) error {
	var b strings.Builder
	for _, e := range v.KnownFailures {
		fmt.Fprintf(&b, "known red: %s\n", e)
	}
	for _, e := range v.Passed {
		fmt.Fprintf(&b, "known red, but passed: %s\n", e)
	}
	for _, text := range v.Failures {
		fmt.Fprintf(&b, "not known red: %s\n", text)
	}
	if _, err := io.WriteString(out, b.String()); err != nil {
		return fault.New("write verdict", KindUnwritable, "%w", err)
	}
	return nil
}
