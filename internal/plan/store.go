package plan

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"cicadabarrow.example/cicadabarrow/internal/document"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const (
	sectionPrefix = "plan/"
	historyPrefix = "planhistory/"
	// guardKey is the key of the guard row. Every edit checks the version of this
	// row and writes it, so that the edits of all teams are committed one by one.
	guardKey = "planguard"
	// maxCommitAttempts bounds how often the commit of one edit is sent, either
	// because its outcome is unknown or because the guard row has changed.
	maxCommitAttempts = 3
	// historyPageSize is the number of history rows in one read.
	historyPageSize = 100
)

// Table is the part of the platform's table service that the store uses. Its
// errors are platform.Error.
type Table interface {
	// Get returns a row, or platform.KindMissing.
	Get(ctx context.Context, key string) (platform.Row, error)
	// List returns the rows whose keys have the prefix and whose versions are
	// above after, in ascending order of version. A limit above 0 bounds their
	// number, but never splits the rows of one commit.
	List(ctx context.Context, prefix string, after uint64, limit int) ([]platform.Row, error)
	// Commit commits a transaction and returns the version that its rows get.
	Commit(ctx context.Context, commit platform.Commit) (uint64, error)
}

// Store keeps the plan in the platform's table service: one row for each
// section and one for each accepted edit.
type Store struct {
	table Table
	clock timer.Clock
}

// NewStore returns a store that uses the given table. The clock gives the times
// of the history entries.
func NewStore(table Table, clock timer.Clock) *Store { return &Store{table: table, clock: clock} }

// Edit is a change of one section.
type Edit struct {
	// Team must be the team of the section.
	Team string
	// Base is the revision that the edit is based on; 0 creates the section.
	Base    uint64
	Section Section
	// Capacity is the capacity of the workers, as far as it is known.
	Capacity Capacity
	// Author is the name of the access key with which the edit was requested.
	Author string
}

// AcceptedEdit identifies an edit that was committed to the table.
type AcceptedEdit struct {
	Team     string
	Revision uint64
}

// HistoryEntry is an accepted edit in the history of its team.
type HistoryEntry struct {
	Base    uint64
	Author  string
	At      time.Time
	Section Section
}

// Edit validates a section against the others in the table and commits it if
// the section in the table still has the base revision. Its errors are of these
// kinds:
//
//   - KindInvalid: the section did not pass validation;
//   - KindConflict, which wraps a *Conflict: another edit of the section was
//     committed first;
//   - KindNotRun: the edit failed for another reason and changed nothing;
//   - KindUnknown: the edit may have been committed or may still be.
//
// At most one commit can succeed for a base revision, and the key of its
// history row contains that revision. The row therefore resolves every unknown
// outcome, and as long as the section has its base revision, the commit can be
// sent again without taking effect twice. Every commit also checks and writes
// the guard row, so that no other team's edit can be committed between the
// validation of the whole plan and the commit.
func (s *Store) Edit(ctx context.Context, edit Edit) (AcceptedEdit, error) {
	if edit.Section.Team != edit.Team {
		faults := document.Faults{}
		faults.Add("Team", edit.Section.Team, "the team whose section is edited, "+edit.Team)
		return AcceptedEdit{}, invalidError("edit", faults)
	}
	commit, err := s.newCommit(edit)
	if err != nil {
		return AcceptedEdit{}, err
	}
	failureKind := KindNotRun
	for attempt := 0; ; attempt++ {
		guardVersion, sections, err := s.readSections(ctx)
		if err != nil {
			return AcceptedEdit{}, fault.New("edit", failureKind, "%w", err)
		}
		if sections[edit.Team].Revision != edit.Base {
			return s.resolveOutcome(ctx, edit, sections[edit.Team], commit.ID, failureKind)
		}
		if attempt == maxCommitAttempts {
			return AcceptedEdit{}, fault.New("edit", failureKind, "no clear answer in %d tries", maxCommitAttempts)
		}
		if err := Check(edit.Section, sections, edit.Capacity); err != nil && failureKind == KindNotRun {
			return AcceptedEdit{}, err
		} else if err != nil {
			return AcceptedEdit{}, fault.New("edit", failureKind, "%w", err)
		}
		commit.Checks[guardCheckIndex].Version = guardVersion
		version, err := s.table.Commit(ctx, commit)
		switch {
		case err == nil:
			return AcceptedEdit{Team: edit.Team, Revision: version}, nil
		case fault.Is(err, platform.KindConflict):
		case fault.Is(err, platform.KindNotRun):
			return AcceptedEdit{}, fault.New("edit", failureKind, "%w", err)
		default:
			failureKind = KindUnknown
		}
	}
}

// resolveOutcome returns the outcome of an edit whose section no longer has the
// base revision. No commit of the edit can take effect any more, so the history
// row of the base revision tells which edit was committed.
func (s *Store) resolveOutcome(ctx context.Context, edit Edit, current Section, commitID string, failureKind Kind) (AcceptedEdit, error) {
	row, err := s.table.Get(ctx, historyKey(edit.Team, edit.Base))
	switch {
	case err == nil && row.WriteID == commitID:
		return AcceptedEdit{Team: edit.Team, Revision: row.Version}, nil
	case err == nil, fault.Is(err, platform.KindMissing):
		return AcceptedEdit{}, s.conflictError(ctx, edit, current)
	default:
		return AcceptedEdit{}, fault.New("edit", failureKind, "%w", err)
	}
}

// readSections returns the sections in the table and the version of the guard row.
// It reads the guard row first: if an edit is committed between the two reads, the
// check of the guard row in the commit fails.
func (s *Store) readSections(ctx context.Context) (guardVersion uint64, plan Document, err error) {
	row, err := s.table.Get(ctx, guardKey)
	if err != nil && !fault.Is(err, platform.KindMissing) {
		return 0, nil, err
	}
	sections, _, err := s.Fetch(ctx, 0)
	if err != nil {
		return 0, nil, err
	}
	plan = make(Document, len(sections))
	for _, section := range sections {
		plan[section.Team] = section
	}
	return row.Version, plan, nil
}

// guardCheckIndex is the index of the guard row among the checks of a commit.
const guardCheckIndex = 1

func (s *Store) newCommit(edit Edit) (platform.Commit, error) {
	section := edit.Section
	section.Revision = 0
	value, err := EncodeSection(section)
	if err != nil {
		return platform.Commit{}, err
	}
	entry, err := encodeHistoryEntry(HistoryEntry{Author: edit.Author, At: s.clock.Now(), Section: section})
	if err != nil {
		return platform.Commit{}, err
	}
	id, err := uuid.NewV7()
	if err != nil {
		return platform.Commit{}, fault.New("edit", KindNotRun, "%w", err)
	}
	key := sectionPrefix + edit.Team
	return platform.Commit{
		ID:     id.String(),
		Checks: []platform.Check{{Key: key, Version: edit.Base}, guardCheckIndex: {Key: guardKey}},
		Writes: []platform.Write{
			{Key: key, Value: value},
			{Key: historyKey(edit.Team, edit.Base), Value: entry},
			{Key: guardKey, Value: []byte(edit.Team)},
		},
	}, nil
}

// conflictError returns a KindConflict error with the differences from the edit
// that was committed first. If the base revision cannot be read, the error has
// the revisions only.
func (s *Store) conflictError(ctx context.Context, edit Edit, current Section) error {
	conflict := &Conflict{Team: edit.Team, Base: edit.Base, Current: current.Revision}
	if base, known := s.sectionAt(ctx, edit.Team, edit.Base); known {
		conflict.Differences = Compare(base, current, edit.Section)
	}
	return fault.New("edit", KindConflict, "%w", conflict)
}

// sectionAt returns the section as it was at a revision.
func (s *Store) sectionAt(ctx context.Context, team string, revision uint64) (Section, bool) {
	if revision == platform.Absent {
		return Section{Team: team}, true
	}
	rows, err := s.table.List(ctx, historyPrefix+team+"/", revision-1, 1)
	if err != nil || len(rows) == 0 || rows[0].Version != revision {
		return Section{}, false
	}
	entry, err := decodeHistoryEntry(rows[0])
	return entry.Section, err == nil
}

// Section returns a team's section from the table.
func (s *Store) Section(ctx context.Context, team string) (Section, error) {
	row, err := s.table.Get(ctx, sectionPrefix+team)
	if err != nil {
		return Section{}, readError("get", err)
	}
	return decodeRow(row.Value, row.Version)
}

// Fetch returns the sections whose rows have a version above after, in ascending
// order of revision, and the version to pass to the next call. The caller must
// store the returned version. The largest revision that it knows is no substitute:
// a revision learned from a peer does not mean that all smaller ones are known. A
// row that cannot be decoded is left out and named in the error; the other sections
// are returned together with the error.
func (s *Store) Fetch(ctx context.Context, after uint64) ([]Section, uint64, error) {
	rows, err := s.table.List(ctx, sectionPrefix, after, 0)
	if err != nil {
		return nil, after, readError("fetch", err)
	}
	sections := make([]Section, 0, len(rows))
	var malformed error
	for _, row := range rows {
		after = max(after, row.Version)
		section, err := decodeRow(row.Value, row.Version)
		if err == nil && sectionPrefix+section.Team != row.Key {
			err = fault.New("fetch", KindInvalid, "the section is of team %q", section.Team)
		}
		if err != nil {
			malformed = errors.Join(malformed, fmt.Errorf("row %s: %w", row.Key, err))
			continue
		}
		sections = append(sections, section)
	}
	if malformed != nil {
		malformed = fault.New("fetch", KindInvalid, "%w", malformed)
	}
	return sections, after, malformed
}

// History returns the latest accepted edits of a team, at most limit of them,
// the latest first.
func (s *Store) History(ctx context.Context, team string, limit int) ([]HistoryEntry, error) {
	var latest []platform.Row
	for after := uint64(0); ; {
		rows, err := s.table.List(ctx, historyPrefix+team+"/", after, historyPageSize)
		if err != nil {
			return nil, readError("history", err)
		}
		if len(rows) == 0 {
			break
		}
		after = rows[len(rows)-1].Version
		latest = append(latest, rows...)
		latest = slices.Clone(latest[max(0, len(latest)-limit):])
	}
	entries := make([]HistoryEntry, 0, len(latest))
	for _, row := range slices.Backward(latest) {
		entry, err := decodeHistoryEntry(row)
		if err != nil {
			return nil, fault.New("history", KindInvalid, "row %s: %w", row.Key, err)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

func historyKey(team string, base uint64) string {
	return fmt.Sprintf("%s%s/%020d", historyPrefix, team, base)
}

func readError(op string, err error) error {
	if fault.Is(err, platform.KindMissing) {
		return fault.New(op, KindMissing, "%w", err)
	}
	return fault.New(op, KindNotRun, "%w", err)
}
