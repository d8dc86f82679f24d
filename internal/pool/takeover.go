package pool

import "time"

// graceDrift is the share of RenewGrace that two monotonic clocks may differ by
// at its end, as its divisor.
const graceDrift = 500

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
	if t.First || (t.Clean && p.settled+1 == t.Epoch) {
		p.settle()
	} else {
		p.strangersUntil = p.graceEnd(now)
	}
	if t.First || (!t.Unjournaled && p.accounted+1 == t.Epoch) {
		p.markAccounted()
	} else {
		p.openDoubt(now)
	}
}

// graceEnd returns when the last lease has surely lapsed that an owner whose
// authority ended before now may have renewed.
func (p *Pool) graceEnd(now time.Time) time.Time {
	grace := p.cfg.RenewGrace + p.cfg.RenewGrace/graceDrift
	return now.Add(grace + p.cfg.TaskLease + p.cfg.ClockDriftMargin)
}

// settleStrangers records once that no earlier owner renews any more.
func (p *Pool) settleStrangers(now time.Time) {
	if p.settled != p.epoch && now.After(p.strangersUntil) {
		p.settle()
	}
}

func (p *Pool) settle() {
	p.settled = p.epoch
	p.records = append(p.records, Record{Kind: RecordRenewalsEnded, Epoch: p.epoch})
}

// lapsesAt returns when every lease of an attempt has surely lapsed while its
// worker is silent.
func (p *Pool) lapsesAt(t *task) time.Time {
	at := t.endsBy.Add(p.cfg.ClockDriftMargin)
	if t.inherited && p.settled != p.epoch && p.strangersUntil.After(at) {
		return p.strangersUntil
	}
	return at
}
