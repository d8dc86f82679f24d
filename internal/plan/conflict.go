package plan

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// Conflict is the error of an edit that was rejected because another edit was
// committed first. It holds the three versions of each field that differs, so
// that the operator can merge the two edits.
type Conflict struct {
	Team string
	// Base is the revision that the edit was made from.
	Base uint64
	// Current is the revision in force.
	Current     uint64
	Differences []Difference
}

// Difference holds the three versions of a field that differs between the two
// edits, in compact JSON.
type Difference struct {
	Field  string
	Base   string
	Theirs string
	Yours  string
	// Conflicting is set when both edits changed the field, to different
	// values.
	Conflicting bool
}

// Error returns a text of several lines with the three versions of each field.
func (c *Conflict) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "section %s is at revision %d, the edit was made from %d", c.Team, c.Current, c.Base)
	for _, d := range c.Differences {
		mark := ""
		if d.Conflicting {
			mark = " (changed by both)"
		}
		fmt.Fprintf(&b, "\n%s%s\n  base:   %s\n  theirs: %s\n  yours:  %s", d.Field, mark, d.Base, d.Theirs, d.Yours)
	}
	return b.String()
}

// Compare returns the top-level fields that differ between two edits of the
// same base. Fields that both edits changed to the same value are left out.
func Compare(base, theirs, yours Section) []Difference {
	var differences []Difference
	b, t, y := newWireSection(base), newWireSection(theirs), newWireSection(yours)
	for _, f := range []struct {
		name     string
		versions [3]any
	}{
		{"Quota", [3]any{b.Quota, t.Quota, y.Quota}},
		{"Services", [3]any{b.Services, t.Services, y.Services}},
		{"Jobs", [3]any{b.Jobs, t.Jobs, y.Jobs}},
		{"Objectives", [3]any{b.Objectives, t.Objectives, y.Objectives}},
	} {
		d := Difference{Field: f.name, Base: compactJSON(f.versions[0]), Theirs: compactJSON(f.versions[1]), Yours: compactJSON(f.versions[2])}
		if d.Theirs == d.Yours {
			continue
		}
		d.Conflicting = d.Base != d.Theirs && d.Base != d.Yours
		differences = append(differences, d)
	}
	return differences
}

// Merge merges two edits of the same base that changed different top-level
// fields. It returns false when both changed a field to different values. The
// merged section has the revision of theirs and has not passed Check.
func Merge(base, theirs, yours Section) (Section, bool) {
	merged := theirs
	for _, d := range Compare(base, theirs, yours) {
		if d.Conflicting {
			return Section{}, false
		}
		if d.Base == d.Yours {
			continue
		}
		switch d.Field {
		case "Quota":
			merged.Quota = yours.Quota
		case "Services":
			merged.Services = yours.Services
		case "Jobs":
			merged.Jobs = yours.Jobs
		case "Objectives":
			merged.Objectives = yours.Objectives
		}
	}
	return merged, true
}

func compactJSON(wire any) string {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(wire); err != nil {
		return err.Error()
	}
	return strings.TrimSpace(b.String())
}
