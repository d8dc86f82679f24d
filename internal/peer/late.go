package peer

// maxLateCalls bounds the calls of a connection whose answers are still taken although they
// have given up. It is a multiple of the calls that an owner makes through one relay at the
// same time.
const maxLateCalls = 1024

// lateCalls holds the calls that have given up and still take their answers. Beyond
// maxLateCalls, the one that has given up first is forgotten.
type lateCalls struct {
	take map[uint64]func(Message)
	// order holds the numbers of the calls in the order in which they gave up, those
	// included that have been answered since.
	order []uint64
}

// add adds a call.
func (l *lateCalls) add(number uint64, take func(Message)) {
	if l.take == nil {
		l.take = make(map[uint64]func(Message))
	}
	l.take[number] = take
	l.order = append(l.order, number)
	if len(l.order) > maxLateCalls {
		delete(l.take, l.order[0])
		l.order = l.order[1:]
	}
}

// remove removes a call and returns the function that takes its answer, or returns nil.
func (l *lateCalls) remove(number uint64) func(Message) {
	take := l.take[number]
	delete(l.take, number)
	if len(l.take) == 0 {
		l.order = nil
	}
	return take
}

// takeLate keeps a call that gives up for its answer. The answer may have arrived in the same
// moment, so that the call waited no longer. The caller holds the lock.
func (c *conn) takeLate(call *pendingCall, waiting bool, take func(Message)) {
	if take == nil || c.closed {
		return
	}
	if waiting {
		c.late.add(call.number, take)
		return
	}
	select {
	case e, ok := <-call.answer:
		if m, err := c.reply(e); ok && err == nil {
			c.transport.background.Go(func() { take(m) })
		}
	default:
	}
}
