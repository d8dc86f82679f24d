package account

import (
	"maps"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

// Books are the books of all accounts of a cell.
type Books struct {
	// inForce has the terms of the manifest in force, by account.
	inForce map[string]manifest.Terms
	// entries has the accounts with jobs or with something in use.
	entries map[string]*entry
	// sharesAt is when the shares were last updated.
	sharesAt time.Time
}

// entry is what is kept about one account.
type entry struct {
	name string
	// terms are those of the manifest in force, and known is set if it has the account.
	terms manifest.Terms
	known bool
	// accepted are the terms at the acceptance of the last job.
	accepted manifest.Terms
	// jobs counts the jobs that have not been forgotten.
	jobs int
	// use is what the account has in use, and planned the part of it whose starts have
	// not been sent.
	use     job.Size
	planned job.Size
	// earliest is the earliest virtual arrival of the account's next job, before the
	// burst allowance.
	earliest time.Time
	// meanShare is the mean of the part of the capacity that the account has lately used.
	meanShare float64
	// overShare is set while the account uses more than its share, at the latest until
	// overShareUntil unless others wait again.
	overShare      bool
	overShareUntil time.Time
	// overShareSince is when that began.
	overShareSince time.Time
}

// NewBooks returns books without accounts.
func NewBooks() *Books { return &Books{entries: make(map[string]*entry)} }

// SetTerms installs the accounts of the manifest in force. Of several accounts with one
// name, the first one counts.
func (b *Books) SetTerms(accounts []manifest.Account) {
	b.inForce = make(map[string]manifest.Terms, len(accounts))
	for i := range accounts {
		if _, known := b.inForce[accounts[i].Name]; !known {
			b.inForce[accounts[i].Name] = accounts[i].Terms
		}
	}
	for name, e := range b.entries {
		if e.terms, e.known = b.inForce[name]; !e.known && e.unused() {
			delete(b.entries, name)
		}
	}
}

// Join returns the membership of a job in its account, given the terms at the time of
// its acceptance. It returns nil for a job without an account.
func (b *Books) Join(accepted manifest.Terms) *Member {
	if accepted.Name == "" {
		return nil
	}
	e, known := b.entries[accepted.Name]
	if !known {
		e = &entry{name: accepted.Name}
		e.terms, e.known = b.inForce[accepted.Name]
		b.entries[accepted.Name] = e
	}
	e.jobs++
	e.accepted = accepted
	return &Member{entry: e, accepted: accepted}
}

// Unused reports whether no account has jobs or something in use.
func (b *Books) Unused() bool { return len(b.entries) == 0 }

// Leave ends a membership whose job has been forgotten. What the job still has in use
// counts until it is removed.
func (b *Books) Leave(m *Member) {
	if m == nil {
		return
	}
	m.entry.jobs--
	if m.entry.unused() && b.entries[m.entry.name] == m.entry {
		delete(b.entries, m.entry.name)
	}
}

// unused reports whether nothing refers to an account and its rate needs no memory.
func (e *entry) unused() bool { return e.jobs == 0 && e.use.IsZero() && e.earliest.IsZero() }

// View is the state of an account.
type View struct {
	manifest.Terms
	// Removed is set if the manifest in force does not have the account.
	Removed bool
	// Jobs counts the jobs that have not been forgotten.
	Jobs int
	Use  job.Size
	// ExcessFor is how long a job that arrives now would be in excess; 0 if it would
	// not be.
	ExcessFor time.Duration
	// OverShare is set while it uses more than its share of the capacity and others wait.
	OverShare bool
}

// Views returns the state of all accounts, sorted by name. Accounts that are not in the
// manifest have the terms of their last accepted job.
func (b *Books) Views(now time.Time) []View {
	names := make(map[string]bool, len(b.inForce))
	for name := range b.inForce {
		names[name] = true
	}
	for name := range b.entries {
		names[name] = true
	}
	out := make([]View, 0, len(names))
	for _, name := range slices.Sorted(maps.Keys(names)) {
		v := View{Terms: manifest.Terms{Name: name}, Removed: true}
		if terms, known := b.inForce[name]; known {
			v.Terms, v.Removed = terms, false
		}
		if e, known := b.entries[name]; known {
			v.Jobs, v.Use, v.ExcessFor, v.OverShare = e.jobs, e.use, e.excessFor(now), e.overShare
			if v.Removed {
				v.Terms = e.accepted
			}
		}
		out = append(out, v)
	}
	return out
}
