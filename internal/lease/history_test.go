package lease

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// history holds the operations of the hosts on the unit rows and their results, for
// porcupine's linearizability check. Each unit row is a register that is changed by
// compare-and-set.
type history struct {
	ops []porcupine.Operation
	// versions maps the ID of a commit to the version that it wrote, if a host has
	// read that.
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

// rowOutput is the result of an operation. check leaves conflicts out: a commit
// checks other rows too, so a conflict proves nothing about this row.
type rowOutput struct {
	outcome Outcome
	version uint64
}

// sent records a commit without its result: it may take effect at any later time.
// It returns the index of each operation of the commit.
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

// answered records the result of a commit.
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

// check returns an error unless the history is linearizable.
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
				// No host has read its effect, so no later operation depends on it.
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
