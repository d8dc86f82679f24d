package plan

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Teams returns the names of the teams in lexical order.
func (d Document) Teams() []string { return slices.Sorted(maps.Keys(d)) }

// Replica holds the sections in force on one host. A section is replaced only
// by one of a higher revision, so that no section reverts, in whatever order
// updates arrive. A Replica is safe for concurrent use. The sections that it
// returns share their slices with it and must not be modified.
type Replica struct {
	mu       sync.RWMutex
	sections Document
	digest   Digest
}

// NewReplica returns an empty replica.
func NewReplica() *Replica { return &Replica{sections: make(Document)} }

// Digest summarizes the sections of a replica, so that two hosts can compare
// their replicas without exchanging the sections.
type Digest struct {
	// MaxRevision is the largest revision of any section. It does not mean that
	// every smaller revision has been adopted.
	MaxRevision uint64
	// Sum is the XOR of a hash of each team and its revision, which does not
	// depend on their order.
	Sum uint64
}

// Adopt puts a section in force if its revision is higher than that of the
// team's current section, and reports whether it did.
func (r *Replica) Adopt(s Section) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.sections[s.Team]
	if s.Revision <= current.Revision {
		return false
	}
	if current.Revision > 0 {
		r.digest.Sum ^= hashRevision(current.Team, current.Revision)
	}
	r.digest.Sum ^= hashRevision(s.Team, s.Revision)
	r.digest.MaxRevision = max(r.digest.MaxRevision, s.Revision)
	r.sections[s.Team] = s
	return true
}

// Section returns the section in force of a team.
func (r *Replica) Section(team string) (Section, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	s, ok := r.sections[team]
	return s, ok
}

// Service returns the policy of a service and the team that owns it.
func (r *Replica) Service(name string) (Service, string, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for team, s := range r.sections {
		for i := range s.Services {
			if s.Services[i].Name == name {
				return s.Services[i], team, true
			}
		}
	}
	return Service{}, "", false
}

// Document returns all sections in force.
func (r *Replica) Document() Document {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return maps.Clone(r.sections)
}

// Changed returns the sections with a revision above after, in ascending order
// of revision.
func (r *Replica) Changed(after uint64) []Section {
	return r.filter(func(s *Section) bool { return s.Revision > after })
}

// Newer returns the sections whose revision is above the one that a peer knows
// for the same team, in ascending order of revision.
func (r *Replica) Newer(known map[string]uint64) []Section {
	return r.filter(func(s *Section) bool { return s.Revision > known[s.Team] })
}

// Revisions returns the revision in force of each team.
func (r *Replica) Revisions() map[string]uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	revisions := make(map[string]uint64, len(r.sections))
	for team, s := range r.sections {
		revisions[team] = s.Revision
	}
	return revisions
}

// Digest returns the digest of the sections in force.
func (r *Replica) Digest() Digest {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.digest
}

func (r *Replica) filter(match func(*Section) bool) []Section {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var found []Section
	for _, s := range r.sections {
		if match(&s) {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, func(x, y Section) int { return cmp.Compare(x.Revision, y.Revision) })
	return found
}

func hashRevision(team string, revision uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(team), revision))
}
