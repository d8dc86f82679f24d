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
	// order has the packages' names as they started.
	order []string
	// faults are what no entry of a list can pass over.
	faults []string
	// exited is set once the exit status of go test is known.
	exited bool
	code   int
}

// New returns a run that shows its packages on out as they end.
func New(out io.Writer) *Run {
	return &Run{out: out, packages: make(map[string]*packageRun)}
}

// Read takes in events, one JSON object a line, until r ends.
func (r *Run) Read(in io.Reader) error {
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadString('\n')
		if line != "" {
			if err := r.takeLine(line); err != nil {
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

func (r *Run) takeLine(line string) error {
	var e event
	if err := json.Unmarshal([]byte(line), &e); err != nil {
		r.faults = append(r.faults, "go test wrote a line that is no event: "+err.Error())
		return r.show(line)
	}
	switch {
	case e.Action == actionExit:
		r.exited = true
		r.code = e.Code
	case e.Action == actionBuildOutput:
		return r.show(e.Output)
	case e.Action == actionBuildFail:
		r.faults = append(r.faults, e.ImportPath+": build or vet failed")
	case e.Package != "":
		return r.takePackage(e)
	}
	return nil
}

func (r *Run) takePackage(e event) error {
	p, known := r.packages[e.Package]
	if !known {
		p = newPackageRun(e.Package)
		r.packages[e.Package] = p
		r.order = append(r.order, e.Package)
	}
	p.take(e)
	if p.result == "" {
		return nil
	}
	return r.show(p.shown())
}

func (r *Run) show(text string) error {
	if _, err := io.WriteString(r.out, text); err != nil {
		return fault.New("show run", KindUnwritable, "%w", err)
	}
	return nil
}
