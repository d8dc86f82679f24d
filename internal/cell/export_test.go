package cell

import (
	"fmt"
	"strings"
)

// Looked returns how many steps decisions have looked at so far.
func (c *Cell) Looked() int { return c.looked }

// Describe tells what a cell believes, for failed tests.
func (c *Cell) Describe() string {
	var b strings.Builder
	for _, w := range c.ordered {
		fmt.Fprintf(&b, "worker %s listed=%v reported=%v leaving=%v taken=%+v leavingRoom=%+v rest=%v\n",
			w.id, w.listed, w.reported, w.registration.Leaving, w.taken, w.leaving, w.health.quarantinedUntil)
		for _, r := range w.runs.list {
			fmt.Fprintf(&b, "  run %s %d phase=%d stopping=%v answered=%v\n", r.task.id, r.number, r.phase, r.stopping, r.stopAnswered)
		}
	}
	for id, s := range c.open {
		fmt.Fprintf(&b, "open %s waiting=%d done=%d coming=%d\n", id, s.waiting, s.done, s.coming)
	}
	for id, j := range c.jobs {
		fmt.Fprintf(&b, "job %s %s shown=%s revision=%d durable=%d planned=%d dirty=%v\n",
			id, j.state, j.shown, j.revision, j.durable, len(j.planned), j.dirty)
		for _, steps := range j.occurrences {
			for _, s := range steps {
				for _, t := range s.tasks {
					fmt.Fprintf(&b, "  task %s phase=%d run=%d failed=%d current=%v\n", t.id, t.phase, t.lastRun, len(t.failedRuns), t.current != nil)
				}
			}
		}
	}
	return b.String()
}
