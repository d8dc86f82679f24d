package knownred

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// Run is one run of go test -json.
type Run struct {
	out      io.Writer
	packages map[string]*packageRun
	// order holds the names of the packages in the order of their start.
	order []string
	// failures are the failures that no entry of a list can excuse.
	failures []string
	// exited is set once the exit status of go test is known.
	exited   bool
	exitCode int
}

// New returns a run that prints the output of each package to out when the
// package ends.
func New(out io.Writer) *Run {
	return &Run{out: out, packages: make(map[string]*packageRun)}
}

// Read reads events, one JSON object per line, until in ends.
func (r *Run) Read(in io.Reader) error {
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadString('\n')
		if line != "" {
			if err := r.readLine(line); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fault.New("read run", KindUnreadable, "%w", err)
		}
	}
}

func (r *Run) readLine(line string) error {
	var e event
	if err := json.Unmarshal([]byte(line), &e); err != nil {
		r.failures = append(r.failures, "go test wrote a line that is not an event: "+err.Error())
		return r.writeOutput(line)
	}
	switch {
	case e.Action == actionExit:
		r.exited = true
		r.exitCode = e.Code
	case e.Action == actionBuildOutput:
		return r.writeOutput(e.Output)
	case e.Action == actionBuildFail:
		r.failures = append(r.failures, e.ImportPath+": build or vet failed")
	case e.Package != "":
		return r.addPackageEvent(e)
	}
	return nil
}

func (r *Run) addPackageEvent(e event) error {
	p, known := r.packages[e.Package]
	if !known {
		p = newPackageRun(e.Package)
		r.packages[e.Package] = p
		r.order = append(r.order, e.Package)
	}
	p.addEvent(e)
	if p.result == "" {
		return nil
	}
	return r.writeOutput(p.printedOutput())
}

func (r *Run) writeOutput(text string) error {
	if _, err := io.WriteString(r.out, text); err != nil {
		return fault.New("show run", KindUnwritable, "%w", err)
	}
	return nil
}
