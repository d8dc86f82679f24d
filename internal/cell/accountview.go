package cell

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/account"
)

// AccountView is the state of a client account as shown to an operator.
type AccountView struct {
	account.View
	// Waiting counts the tasks to place, and CapWaiting those of them that the cap leaves
	// no room for.
	Waiting    int
	CapWaiting int
	// InExcess counts the jobs in excess that have not ended.
	InExcess int
}

// Accounts returns the state of all accounts, sorted by name.
func (c *Cell) Accounts(now time.Time) []AccountView {
	views := c.books.Views(now)
	if len(views) == 0 {
		return nil
	}
	out := make([]AccountView, len(views))
	byName := make(map[string]*AccountView, len(views))
	for i := range views {
		out[i].View = views[i]
		byName[views[i].Name] = &out[i]
	}
	c.waitingWithinCaps(func(s *stepState, tasks int) {
		if v := byName[s.job.member.Name()]; v != nil && s.job.member != nil {
			v.Waiting += s.waiting
			v.CapWaiting += s.waiting - tasks
		}
	})
	for _, j := range c.jobs {
		if j.member != nil && !j.state.Final() && j.inExcess(now) {
			byName[j.member.Name()].InExcess++
		}
	}
	return out
}
