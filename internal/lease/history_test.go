package lease

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// history holds what the hosts asked of the unit rows and were answered, for
// porcupine. Each unit row is a register that is changed by compare-and-set.
type history struct {
	ops []porcupine.Operation
	// versions maps the ID of a commit to its version, as far as a host has
	// read it.
	versions map[string]uint64
}

// rowInput is a read of a unit row, or a compare-and-set of its version.
type rowInput struct {
	unit string
	read bool
	// expect is the version that the commit checks.
	expect uint64
	id     string
}

// rowOutput is the answer. A conflict says nothing of this row alone, since the
// commit checks other rows too; check leaves it out.
type rowOutput struct {
	outcome Outcome
	version uint64
}

// sent records a commit whose answer is not known yet: it may take effect at
// any later instant. The index of each of its operations is returned.
func (h *history) sent(p *process, c platform.Commit, call time.Duration) []int {
	var ops []int
	for _, write := range c.Writes {
		if !isUnitKey(write.Key) {
			continue
		}
		in := rowInput{unit: write.Key, id: c.ID}
		for _, check := range c.Checks {
			if check.Key == write.Key {
				in.expect = check.Version
			}
		}
		ops = append(ops, len(h.ops))
		h.ops = append(h.ops, porcupine.Operation{
			ClientId: p.place, Input: in, Call: int64(call), Output: rowOutput{outcome: OutcomeUnknown}, Return: math.MaxInt64,
		})
	}
	return ops
}

// answered records the answer to a commit.
func (h *history) answered(ops []int, o Outcome, version uint64, now time.Duration) {
	for _, i := range ops {
		h.ops[i].Output = rowOutput{o, version}
		if o == OutcomeDone {
			h.ops[i].Return = int64(now)
		}
	}
}

// listed records the unit rows that a host has read.
func (h *history) listed(p *process, rows []platform.Row, call, now time.Duration) {
	for _, r := range rows {
		if !isUnitKey(r.Key) {
			continue
		}
		h.versions[r.WriteID] = r.Version
		h.ops = append(h.ops, porcupine.Operation{
			ClientId: p.place, Input: rowInput{unit: r.Key, read: true}, Call: int64(call),
			Output: rowOutput{OutcomeDone, r.Version}, Return: int64(now),
		})
	}
}

// check tells whether the history is linearizable.
func (h *history) check() error {
	var ops []porcupine.Operation
	for _, op := range h.ops {
		in, out := op.Input.(rowInput), op.Output.(rowOutput)
		if out.outcome == OutcomeConflict || out.outcome == OutcomeNotRun {
			continue
		}
		if out.outcome == OutcomeUnknown {
			v, seen := h.versions[in.id]
			if !seen {
				// Nobody ever saw it, so nothing was built on it.
				continue
			}
			out.version = v
			op.Output = out
		}
		ops = append(ops, op)
	}
	const limit = time.Minute
	if got := porcupine.CheckOperationsTimeout(rowModel, ops, limit); got != porcupine.Ok {
		return fmt.Errorf("the history of %d operations on unit rows is %s", len(ops), got)
	}
	return nil
}

var rowModel = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byUnit := make(map[string][]porcupine.Operation)
		for _, op := range all {
			unit := op.Input.(rowInput).unit
			byUnit[unit] = append(byUnit[unit], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byUnit {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return platform.Absent },
	Step: func(state, input, output any) (bool, any) {
		version, in, out := state.(uint64), input.(rowInput), output.(rowOutput)
		if in.read {
			return out.version == version, version
		}
		return in.expect == version && out.version > version, out.version
	},
}
