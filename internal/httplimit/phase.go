package httplimit

// phase is what a connection is doing.
type phase uint8

const (
	// phaseNew connections have sent nothing yet.
	phaseNew phase = iota
	phaseHeader
	// phaseServing connections have a request that is being processed.
	phaseServing
	// phaseBody connections have a request whose body is being read.
	phaseBody
	// phaseIdle connections wait for the next request.
	phaseIdle
	// phaseClosing connections are closed once the client has read the refusal.
	phaseClosing
	phaseClosed

	phases
)

// String returns the name of the phase in metrics and in the log.
func (p phase) String() string {
	switch p {
	case phaseNew:
		return "new"
	case phaseHeader:
		return "header"
	case phaseServing:
		return "serving"
	case phaseBody:
		return "body"
	case phaseIdle:
		return "idle"
	case phaseClosing:
		return "closing"
	case phaseClosed, phases:
	}
	return "closed"
}
