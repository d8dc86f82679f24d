package relay

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
)

// maxChangeLines bounds the lines a second about workers that got another relay.
const maxChangeLines = 20

// changeLog logs which workers got another relay.
type changeLog struct {
	log        *zap.Logger
	second     time.Time
	lines      int
	suppressed int
}

// moved logs that a worker got another relay, unless there are too many lines.
func (c *changeLog) moved(now time.Time, id cell.WorkerID, from, to *relayState) {
	if now.Sub(c.second) >= time.Second {
		c.second, c.lines = now, 0
	}
	if c.lines == maxChangeLines {
		c.suppressed++
		return
	}
	c.lines++
	c.log.Info("worker has another relay", zap.String("Worker", string(id)), zap.Stringer("From", from.address()),
		zap.Stringer("To", to.address()), zap.String("Cause", from.cause(now)), zap.Int("Suppressed", c.suppressed))
	c.suppressed = 0
}

// address returns the address of a relay, or the zero value for the owner itself.
func (s *relayState) address() netip.AddrPort {
	if s == nil {
		return netip.AddrPort{}
	}
	return s.addr
}

// cause tells why a relay is no longer that of a worker.
func (s *relayState) cause(now time.Time) string {
	switch {
	case s == nil:
		return "a relay is available"
	case !s.alive:
		return "the relay is lost"
	case now.Before(s.suspectedUntil):
		return "the relay is suspected"
	}
	return "other relays were chosen, or the worker did not answer through this one"
}
