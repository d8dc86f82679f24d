package plan

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Teams returns the teams of the plan in order.
func (d Document) Teams() []string { return slices.Sorted(maps.Keys(d)) }

// Replica holds the sections in force on one host. A section is replaced only by
// one of a higher revision, so that nothing reverts in whatever order news
// arrives. It is safe for concurrent use. Sections that it returns share their
// lists with it and must not be changed.
type Replica struct {
	mu       sync.RWMutex
	sections Document
	digest   Digest
}

// NewReplica returns an empty book.
func NewReplica() *Replica { return &Replica{sections: make(Document)} }

// Digest tells cheaply whether two books hold the same sections.
type Digest struct {
	// MaxRevision is the largest revision of any section. It does not mean that
	// every smaller revision has been adopted.
	MaxRevision uint64
	// Sum combines the hashes of each team with its revision, in any order.
	Sum uint64
}

// Adopt puts a section in force if its revision is higher than that of the
// section now in force, and reports whether it was.
func (b *Replica) Adopt(s Section) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.sections[s.Team]
	if s.Revision <= old.Revision {
		return false
	}
	if old.Revision > 0 {
		b.digest.Sum ^= hashRevision(old.Team, old.Revision)
	}
	b.digest.Sum ^= hashRevision(s.Team, s.Revision)
	b.digest.MaxRevision = max(b.digest.MaxRevision, s.Revision)
	b.sections[s.Team] = s
	return true
}

// Section returns the section of a team that is in force.
func (b *Replica) Section(team string) (Section, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	s, ok := b.sections[team]
	return s, ok
}

// Service returns the policy of a service and the team that it belongs to.
func (b *Replica) Service(name string) (Service, string, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for team, s := range b.sections {
		for i := range s.Services {
			if s.Services[i].Name == name {
				return s.Services[i], team, true
			}
		}
	}
	return Service{}, "", false
}

// Document returns all sections in force.
func (b *Replica) Document() Document {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return maps.Clone(b.sections)
}

// Changed returns the sections with a revision above the given one, the lowest
// first.
func (b *Replica) Changed(after uint64) []Section {
	return b.filter(func(s *Section) bool { return s.Revision > after })
}

// Newer returns the sections whose revision is above the one that a peer
// knows for the team, the lowest first.
func (b *Replica) Newer(known map[string]uint64) []Section {
	return b.filter(func(s *Section) bool { return s.Revision > known[s.Team] })
}

// Revisions returns the revision in force by team.
func (b *Replica) Revisions() map[string]uint64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	all := make(map[string]uint64, len(b.sections))
	for team, s := range b.sections {
		all[team] = s.Revision
	}
	return all
}

// Digest returns the digest of the sections in force.
func (b *Replica) Digest() Digest {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.digest
}

func (b *Replica) filter(wanted func(*Section) bool) []Section {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var found []Section
	for _, s := range b.sections {
		if wanted(&s) {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, func(x, y Section) int { return cmp.Compare(x.Revision, y.Revision) })
	return found
}

func hashRevision(team string, revision uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(team), revision))
}
