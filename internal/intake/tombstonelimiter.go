package intake

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// tombstoneBurst is for how long a host writes tombstones at a higher rate, after a time
	// without any.
	tombstoneBurst = 4 * time.Second
	// accountTombstoneShare is the share of a host's tombstones that the cancels of one
	// account may take.
	accountTombstoneShare = 0.5
	// maxIdleAccounts is the number of accounts from which those are forgotten that have
	// cancelled nothing of late.
	maxIdleAccounts = 256
)

// tombstoneLimiter limits the tombstones that a host writes, so that cancels of jobs that
// do not exist leave the store's writes to others.
type tombstoneLimiter struct {
	// perSecond is the limit of the host.
	perSecond func() float64

	mu  sync.Mutex
	all *rate.Limiter
	// accounts has the limiters of the accounts by name. Clients without an account share
	// that of the host.
	accounts map[string]*rate.Limiter
}

func newTombstoneLimiter(perSecond func() float64) *tombstoneLimiter {
	return &tombstoneLimiter{perSecond: perSecond, accounts: make(map[string]*rate.Limiter)}
}

// allow reports whether a tombstone may be written for a client of an account.
func (l *tombstoneLimiter) allow(now time.Time, account string) bool {
	perSecond := l.perSecond()
	l.mu.Lock()
	defer l.mu.Unlock()
	if account != "" && !l.ofAccount(now, account, accountTombstoneShare*perSecond).AllowN(now, 1) {
		return false
	}
	l.all = adjusted(now, l.all, perSecond)
	return l.all.AllowN(now, 1)
}

// ofAccount returns the limiter of an account. The caller holds the lock.
func (l *tombstoneLimiter) ofAccount(now time.Time, account string, perSecond float64) *rate.Limiter {
	if _, known := l.accounts[account]; !known && len(l.accounts) >= maxIdleAccounts {
		for name, a := range l.accounts {
			if a.TokensAt(now) >= float64(a.Burst()) {
				delete(l.accounts, name)
			}
		}
	}
	l.accounts[account] = adjusted(now, l.accounts[account], perSecond)
	return l.accounts[account]
}

// adjusted returns a limiter with the given rate; l is nil for a new one.
func adjusted(now time.Time, l *rate.Limiter, perSecond float64) *rate.Limiter {
	burst := max(int(perSecond*tombstoneBurst.Seconds()), 1)
	if l == nil {
		return rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	l.SetLimitAt(now, rate.Limit(perSecond))
	l.SetBurstAt(now, burst)
	return l
}
