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
	startOther
	// startExcess are the starts of jobs in classExcess.
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
	case r.class == classExcess:
		return startExcess
	case s.spec.LongRunning:
		return startLongRunning
	case urgent && expired:
		return startExpiredUrgent
	case expired:
		return startExpired
	case urgent:
		return startUrgent
	}
	return startOther
}
