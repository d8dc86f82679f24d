package host

import (
	"time"

	"go.uber.org/zap"
)

// contact is what a host knows of the owner of an epoch from the owner's answers to
// its pings.
type contact struct {
	epoch uint64
	// answeredAt is when the last answer arrived, and pingTime how long after its
	// ping; answered is set once there was one.
	answered   bool
	answeredAt time.Time
	pingTime   time.Duration
}

// observe records an answer of the owner of an epoch.
func (c *contact) observe(now time.Time, epoch uint64, pingTime time.Duration) {
	*c = contact{epoch: epoch, answered: true, answeredAt: now, pingTime: pingTime}
}

// fields returns what is known of the owner of an epoch, for the log. SincePong is
// negative if that owner has not answered yet.
func (c *contact) fields(now time.Time, epoch uint64) []zap.Field {
	sincePong, pingTime := time.Duration(-1), time.Duration(0)
	if c.answered && c.epoch == epoch {
		sincePong, pingTime = now.Sub(c.answeredAt), c.pingTime
	}
	return []zap.Field{zap.Duration("SincePong", sincePong), zap.Duration("PingTime", pingTime)}
}

// delayMemory is how long a delay of this host counts.
const delayMemory = 1 * time.Second

// hostDelay is how late the timers of this host's monitor fire, which tells whether
// the host itself is short of processor time.
type hostDelay struct {
	longest time.Duration
	at      time.Time
}

// observe records how late a timer fired.
func (d *hostDelay) observe(now time.Time, late time.Duration) {
	if late = max(late, 0); late >= d.recent(now) {
		d.longest, d.at = late, now
	}
}

// recent returns the longest delay within delayMemory.
func (d *hostDelay) recent(now time.Time) time.Duration {
	if now.Sub(d.at) > delayMemory {
		return 0
	}
	return d.longest
}
