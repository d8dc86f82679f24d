package knownred

import (
	"regexp"
	"strings"
)

// raceText is in every report of the race detector.
const raceText = "DATA RACE"

// testLogLine matches a line that a test wrote with Log or Error.
var testLogLine = regexp.MustCompile(`^\s+\S+\.go:\d+: `)

// packageRun is the run of one package's tests.
type packageRun struct {
	name string
	// result is empty until the package has ended.
	result action
	// failedBuild is set if the package was not run because its build, vet or
	// setup failed.
	failedBuild bool
	// race is set if the output reports a data race.
	race bool
	// tests maps each test to its result, which is actionRun until the test has
	// ended. order holds the names of the tests in the order of their start.
	tests map[string]action
	order []string
	// logged holds the tests that wrote a line with Log or Error.
	logged map[string]bool
	// outputs are the output events. They are discarded when the package ends
	// without a failure.
	outputs []event
	// sawFinalFail is set by the line "FAIL" with which the testing package ends
	// a failed run. outputAfterFail is the output of the package since then.
	sawFinalFail    bool
	outputAfterFail []string
	// lastPackageLine is the last output line that belongs to no test.
	lastPackageLine string
}

func newPackageRun(name string) *packageRun {
	return &packageRun{name: name, tests: make(map[string]action), logged: make(map[string]bool)}
}

// addEvent updates the run with an event of the package.
func (p *packageRun) addEvent(e event) {
	switch e.Action {
	case actionRun:
		p.order = append(p.order, e.Test)
		p.tests[e.Test] = actionRun
	case actionOutput:
		p.addOutput(e)
	case actionPass, actionFail, actionSkip:
		if e.Test == "" {
			p.finish(e)
			return
		}
		if _, started := p.tests[e.Test]; !started {
			p.order = append(p.order, e.Test)
		}
		p.tests[e.Test] = e.Action
	default:
		// The other actions do not affect the result.
	}
}

func (p *packageRun) addOutput(e event) {
	p.outputs = append(p.outputs, e)
	if e.Test != "" {
		if testLogLine.MatchString(e.Output) {
			p.logged[e.Test] = true
		}
		return
	}
	p.lastPackageLine = e.Output
	switch {
	case e.Output == "FAIL\n":
		p.sawFinalFail = true
		p.outputAfterFail = nil
	case p.sawFinalFail:
		p.outputAfterFail = append(p.outputAfterFail, e.Output)
	}
}

func (p *packageRun) finish(e event) {
	p.result = e.Action
	p.failedBuild = e.FailedBuild != ""
	p.race = strings.Contains(p.outputText(), raceText)
	if p.result != actionFail {
		p.outputs = nil
	}
}

// outputText returns the complete output of the package.
func (p *packageRun) outputText() string {
	var b strings.Builder
	for _, e := range p.outputs {
		b.WriteString(e.Output)
	}
	return b.String()
}

// failedTests returns the names of the failed tests.
func (p *packageRun) failedTests() []string {
	var out []string
	for _, test := range p.order {
		if p.tests[test] == actionFail {
			out = append(out, test)
		}
	}
	return out
}

// incompleteReason returns why the run of a failed package may not have reached
// all of its tests, or may have failed for another reason than its tests. It
// returns "" if neither is the case.
func (p *packageRun) incompleteReason() string {
	for _, test := range p.order {
		if p.tests[test] == actionRun {
			return test + " did not end"
		}
	}
	if !p.sawFinalFail {
		return "the tests were aborted, for example by a panic or an exit"
	}
	if len(p.outputAfterFail) != 1 || !strings.HasPrefix(p.outputAfterFail[0], "FAIL\t"+p.name+"\t") {
		return "the package wrote unexpected output after its tests had ended"
	}
	return ""
}

// printedOutput returns what go test prints for the package without -json: the
// closing line and, if the package failed, the output before it except that of
// tests that passed or were skipped.
func (p *packageRun) printedOutput() string {
	if p.result != actionFail {
		return p.lastPackageLine
	}
	var b strings.Builder
	for _, e := range p.outputs {
		result := p.tests[e.Test]
		if result == actionPass || result == actionSkip || strings.HasPrefix(e.Output, "=== ") {
			continue
		}
		b.WriteString(e.Output)
	}
	return b.String()
}
