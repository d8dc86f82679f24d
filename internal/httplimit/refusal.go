package httplimit

import (
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

// reason is why a request was refused or a connection was closed.
type reason string

const (
	reasonHeaderTooLarge reason = "header_too_large"
	reasonHeaderTooSlow  reason = "header_too_slow"
	reasonBodyTooLarge   reason = "body_too_large"
	reasonBodyTooSlow    reason = "body_too_slow"
	// reasonStalled is a connection that held bytes without progress while they were
	// short.
	reasonStalled reason = "stalled"
	// reasonBodyBytes and reasonDecodedBytes are requests for which there was no memory.
	reasonBodyBytes    reason = "body_bytes"
	reasonDecodedBytes reason = "decoded_bytes"
	// reasonSmallPieces is a body in pieces so small that it would take the processor.
	reasonSmallPieces reason = "small_pieces"
	// reasonConnections is a connection that made room for a new one, and
	// reasonNoConnection a new one for which no other could be closed.
	reasonConnections  reason = "connections"
	reasonNoConnection reason = "no_connection"
	reasonIdle         reason = "idle"
)

const (
	// refusalLinesPerSecond and refusalLineBurst limit the log lines of each reason.
	refusalLinesPerSecond = 1
	refusalLineBurst      = 5
)

// refusalLog counts refusals by reason and logs them at a limited rate.
type refusalLog struct {
	log     *zap.Logger
	reasons map[reason]*reasonLog
}

type reasonLog struct {
	count tally.Counter
	limit *rate.Limiter
	// leftOut counts the refusals without a line since the last line.
	leftOut int
}

func newRefusalLog(scope tally.Scope, log *zap.Logger) *refusalLog {
	r := &refusalLog{log: log, reasons: make(map[reason]*reasonLog)}
	for _, why := range []reason{
		reasonHeaderTooLarge, reasonHeaderTooSlow, reasonBodyTooLarge, reasonBodyTooSlow, reasonStalled, reasonBodyBytes,
		reasonDecodedBytes, reasonSmallPieces, reasonConnections, reasonNoConnection, reasonIdle,
	} {
		r.reasons[why] = &reasonLog{
			count: scope.Tagged(map[string]string{"reason": string(why)}).Counter("refused"),
			limit: rate.NewLimiter(refusalLinesPerSecond, refusalLineBurst),
		}
	}
	return r
}

// add counts a refusal and logs it, if its reason was not logged too often lately. The
// caller holds the lock of the guard.
func (r *refusalLog) add(now time.Time, c *Conn, why reason) {
	l := r.reasons[why]
	l.count.Inc(1)
	if !l.limit.AllowN(now, 1) {
		l.leftOut++
		return
	}
	level := zapcore.InfoLevel
	if why == reasonIdle {
		// Clients that keep connections for their next requests do this all the time.
		level = zapcore.DebugLevel
	}
	r.log.Log(level, "request refused or connection closed", zap.String("Reason", string(why)), zap.Stringer("From", c.RemoteAddr()),
		zap.Stringer("State", c.phase), zap.Duration("Age", now.Sub(c.openedAt)), zap.Duration("WithoutProgress", now.Sub(c.entry.ProgressAt())),
		zap.Int64("HeaderBytes", c.headerBytes), zap.Int64("BodyBytes", c.bodyBytes), zap.Int("LeftOut", l.leftOut))
	l.leftOut = 0
}
