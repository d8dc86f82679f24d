package knownred

import (
	"bufio"
	"io"
	"slices"
	"strings"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

const (
	fieldPackage = "Package"
	fieldTest    = "Test"
	fieldPattern = "Pattern"
	fieldIssue   = "Issue"
)

// Command, Seed and Seen are for the human reader only.
var (
	requiredFields = []string{fieldPackage, fieldTest, "Command", "Seed", "Seen", fieldIssue}
	optionalFields = []string{fieldPattern}
)

// Entry is a known failure for which an issue exists.
type Entry struct {
	// Package is the import path.
	Package string
	// Test is the name as Go prints it, including subtests. If Pattern is set,
	// Test is free text, because the failure belongs to no test.
	Test string
	// Pattern, if set, is a substring of the output of a package that fails
	// without a failed test.
	Pattern string
	// Issue is the issue that tracks the failure.
	Issue string
}

// List holds the entries of KNOWN-RED.txt in the order of the file.
type List []Entry

// OfPackages returns the entries of the packages that ran.
func (l List) OfPackages(r *Run) List {
	var out List
	for _, e := range l {
		if r.packages[e.Package] != nil {
			out = append(out, e)
		}
	}
	return out
}

// ReadList reads entries that are separated by blank lines. A line of an entry
// has the form "Field: text"; an indented line continues the preceding field and
// its text is ignored.
func ReadList(r io.Reader) (List, error) {
	var list List
	fields := make(map[string]string)
	currentField := ""
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		line := scanner.Text()
		var err error
		switch {
		case strings.TrimSpace(line) == "":
			list, err = list.add(fields)
			clear(fields)
			currentField = ""
		case strings.TrimLeft(line, " \t") != line:
			if currentField == "" {
				err = invalid("continuation line %q follows no field", line)
			}
		default:
			currentField, err = readField(fields, line)
		}
		if err != nil {
			return nil, err
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fault.New("read list", KindUnreadable, "%w", err)
	}
	return list.add(fields)
}

// readField parses a line into fields and returns the name of its field.
func readField(fields map[string]string, line string) (string, error) {
	name, text, found := strings.Cut(line, ":")
	if !found || !slices.Contains(slices.Concat(requiredFields, optionalFields), name) {
		return "", invalid("line %q does not start with a known field", line)
	}
	if _, duplicate := fields[name]; duplicate {
		return "", invalid("field %s is repeated in an entry: %q", name, line)
	}
	fields[name] = strings.TrimSpace(text)
	return name, nil
}

// add parses an entry from the fields and returns the list with it appended. It
// returns the list unchanged if there are no fields.
func (l List) add(fields map[string]string) (List, error) {
	if len(fields) == 0 {
		return l, nil
	}
	for _, name := range requiredFields {
		if fields[name] == "" {
			return nil, invalid("the entry of package %q, test %q has no %s",
				fields[fieldPackage], fields[fieldTest], name)
		}
	}
	e := Entry{
		Package: fields[fieldPackage],
		Test:    fields[fieldTest],
		Pattern: fields[fieldPattern],
		Issue:   fields[fieldIssue],
	}
	_, hasPattern := fields[fieldPattern]
	switch {
	case hasPattern && e.Pattern == "":
		return nil, invalid("the pattern of package %s is empty", e.Package)
	case !hasPattern && strings.ContainsAny(e.Test, " \t"):
		return nil, invalid("%q is not the name of one test", e.Test)
	case slices.ContainsFunc(l, e.sameTarget):
		return nil, invalid("%s is listed twice", e)
	}
	return append(l, e), nil
}

// sameTarget reports whether both entries name the same test, or both have a
// pattern for the same package.
func (e Entry) sameTarget(other Entry) bool {
	if e.Package != other.Package || (e.Pattern == "") != (other.Pattern == "") {
		return false
	}
	return e.Pattern != "" || e.Test == other.Test
}

// hasTest reports whether the test is listed.
func (l List) hasTest(pkg, test string) bool {
	return slices.ContainsFunc(l, Entry{Package: pkg, Test: test}.sameTarget)
}

// findPattern returns the entry that has a pattern for the package, if any. The
// pattern "any" is no wildcard: sameTarget only compares whether there is one.
func (l List) findPattern(pkg string) (Entry, bool) {
	i := slices.IndexFunc(l, Entry{Package: pkg, Pattern: "any"}.sameTarget)
	if i < 0 {
		return Entry{}, false
	}
	return l[i], true
}

// String returns the package, the test or pattern, and the issue of the entry.
func (e Entry) String() string {
	if e.Pattern != "" {
		return e.Package + " (" + e.Pattern + "), issue " + e.Issue
	}
	return e.Package + " " + e.Test + ", issue " + e.Issue
}

func invalid(format string, args ...any) error {
	return fault.New("read list", KindInvalid, format, args...)
}
