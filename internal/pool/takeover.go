package pool

import "time"

// renewGraceDriftDivisor is the share of RenewGrace that two monotonic clocks may differ by
// at its end, as its divisor.
const renewGraceDriftDivisor = 500

// Takeover is how an owner came to its epoch.
type Takeover struct {
	Epoch uint64
	// First is set when there was no owner before.
	First bool
	// Clean is set when the owner before stopped to act and then released the
	// workers.
	Clean bool
	// Unjournaled is set when the owner before may have started work that no
	// record names.
	Unjournaled bool
}

// takeOver decides whether an earlier owner may still renew leases, and whether
// work may run that no record names. One that
// was cut off renews what it knows for RenewGrace after its authority ended, and
// that was before this owner could take over. A clean release speaks for the
// last owner only, so the one before must have settled the owners before it.
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

// renewGraceEnd returns when the last lease has surely lapsed that an owner whose
// authority ended before now may have renewed.
func (p *Pool) renewGraceEnd(now time.Time) time.Time {
	grace := p.cfg.RenewGrace + p.cfg.RenewGrace/renewGraceDriftDivisor
	return now.Add(grace + p.cfg.TaskLease + p.cfg.ClockDriftMargin)
}

// checkRenewalsEnded records once that no earlier owner renews any more.
func (p *Pool) checkRenewalsEnded(now time.Time) {
	if p.renewalsEnded != p.epoch && now.After(p.predecessorsRenewUntil) {
		p.recordRenewalsEnded()
	}
}

func (p *Pool) recordRenewalsEnded() {
	p.renewalsEnded = p.epoch
	p.pendingRecords = append(p.pendingRecords, Record{Kind: RecordRenewalsEnded, Epoch: p.epoch})
}

// lapsesAt returns when every lease of an attempt has surely lapsed while its
// worker is silent.
func (p *Pool) lapsesAt(t *task) time.Time {
	at := t.lapsedBy.Add(p.cfg.ClockDriftMargin)
	if t.inherited && p.renewalsEnded != p.epoch && p.predecessorsRenewUntil.After(at) {
		return p.predecessorsRenewUntil
	}
	return at
}
