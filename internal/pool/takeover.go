package pool

import "time"

// renewGraceDriftDivisor bounds the drift between two monotonic clocks over
// RenewGrace: they differ by at most 1/500 of it.
const renewGraceDriftDivisor = 500

// Takeover describes how an owner came to its epoch.
type Takeover struct {
	Epoch uint64
	// First is set when there was no owner before.
	First bool
	// Clean is set when the predecessor stopped acting and then released the
	// workers.
	Clean bool
	// Unjournaled is set when the predecessor may have started tasks
	// unjournaled.
	Unjournaled bool
}

// takeOver decides whether a predecessor may still renew leases, and whether
// unjournaled attempts of a predecessor may run. A predecessor that was cut off
// renews the leases that it knows of for RenewGrace after its authority has
// ended, and its authority ended before this owner could take over. A clean
// release covers only the last owner, which must therefore have recorded the end
// of renewals by the owners before it.
func (p *Pool) takeOver(t Takeover, now time.Time) {
	if t.First || (t.Clean && p.renewalsEnded+1 == t.Epoch) {
		p.recordRenewalsEnded()
	} else {
		p.predecessorsRenewUntil = p.renewGraceEnd(now)
	}
	if t.First || (!t.Unjournaled && p.reconciled+1 == t.Epoch) {
		p.recordReconciled()
	} else {
		p.startReconciliation(now)
	}
}

// renewGraceEnd returns the time at which every lease has certainly lapsed that
// an owner whose authority ended before now may have renewed.
func (p *Pool) renewGraceEnd(now time.Time) time.Time {
	grace := p.cfg.RenewGrace + p.cfg.RenewGrace/renewGraceDriftDivisor
	return now.Add(grace + p.cfg.TaskLease + p.cfg.ClockDriftMargin)
}

// checkRenewalsEnded records, once, that no predecessor renews leases any more.
func (p *Pool) checkRenewalsEnded(now time.Time) {
	if p.renewalsEnded != p.epoch && now.After(p.predecessorsRenewUntil) {
		p.recordRenewalsEnded()
	}
}

func (p *Pool) recordRenewalsEnded() {
	p.renewalsEnded = p.epoch
	p.pendingRecords = append(p.pendingRecords, Record{Kind: RecordRenewalsEnded, Epoch: p.epoch})
}

// lapsesAt returns the time at which every lease of an attempt has certainly
// lapsed while its worker is unreachable.
func (p *Pool) lapsesAt(t *task) time.Time {
	at := t.lapsedBy.Add(p.cfg.ClockDriftMargin)
	if t.inherited && p.renewalsEnded != p.epoch && p.predecessorsRenewUntil.After(at) {
		return p.predecessorsRenewUntil
	}
	return at
}
