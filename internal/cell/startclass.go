package cell

// startClass orders the starts that wait to be sent, and the records that they
// wait for.
type startClass uint8

const (
	// startLongRunning are the starts of long-running tasks, which serve users of
	// their own.
	startLongRunning startClass = iota
	// startUrgent are the starts of the highest priority.
	startUrgent
	// startUrgentAhead are those of jobs that are ahead of the rate of their account.
	startUrgentAhead
	startOther
	// startExcess are the starts of all other jobs that are ahead of the rate of their
	// account, and of jobs in classOverShare.
	startExcess
	// startExpiredUrgent and startExpired are the starts of jobs in classExpired, of
	// the highest priority and of the others.
	startExpiredUrgent
	startExpired
	startClasses
)

// startClassOf returns the class of the starts of a step with the given rank.
func (c *Cell) startClassOf(s *stepState, r rank) startClass {
	urgent, expired := c.queueOf(s.job).Priority == 0, r.class == classExpired
	switch {
	case r.class == classOverShare:
		return startExcess
	case s.spec.LongRunning && !r.ahead:
		return startLongRunning
	case urgent && expired:
		return startExpiredUrgent
	case expired:
		return startExpired
	case urgent && r.ahead:
		return startUrgentAhead
	case urgent:
		return startUrgent
	case r.ahead:
		return startExcess
	}
	return startOther
}
