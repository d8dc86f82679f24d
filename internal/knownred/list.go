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

var (
	requiredFields = []string{fieldPackage, fieldTest, "Command", "Seed", "Seen", fieldIssue}
	optionalFields = []string{fieldPattern}
)

// Entry is a failure that is known and has an issue.
type Entry struct {
	// Package is the import path.
	Package string
	// Test is the name as Go prints it, subtests included. With a Pattern it is
	// free text, because no test is to blame.
	Test string
	// Pattern, if set, is text that the package prints when it fails without a
	// failed test.
	Pattern string
	// Issue is where the failure is followed up.
	Issue string
}

// List holds the entries of KNOWN-RED.txt, in their order.
type List []Entry

// ReadList reads entries parted by blank lines. A line of an entry is
// "Field: text"; an indented line goes on with the field before it.
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
				err = invalid("line %q goes on with no field", line)
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

// readField puts a line into fields and returns the name of its field.
func readField(fields map[string]string, line string) (string, error) {
	name, text, found := strings.Cut(line, ":")
	if !found || !slices.Contains(slices.Concat(requiredFields, optionalFields), name) {
		return "", invalid("line %q starts with no known field", line)
	}
	if _, duplicate := fields[name]; duplicate {
		return "", invalid("%s stands twice in an entry: %q", name, line)
	}
	fields[name] = strings.TrimSpace(text)
	return name, nil
}

// add returns the list with the entry of the fields, if there are any.
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

// sameTarget reports whether other is about the sameTarget test, or both are about a
// pattern of the sameTarget package.
func (e Entry) sameTarget(other Entry) bool {
	if e.Package != other.Package || (e.Pattern == "") != (other.Pattern == "") {
		return false
	}
	return e.Pattern != "" || e.Test == other.Test
}

// hasTest reports whether the list names the hasTest.
func (l List) hasTest(pkg, test string) bool {
	return slices.ContainsFunc(l, Entry{Package: pkg, Test: test}.sameTarget)
}

// findPattern returns the entry that has a findPattern for the package, if there is one.
func (l List) findPattern(pkg string) (Entry, bool) {
	i := slices.IndexFunc(l, Entry{Package: pkg, Pattern: "any"}.sameTarget)
	if i < 0 {
		return Entry{}, false
	}
	return l[i], true
}

// String returns the entry's package, its test or pattern, and its issue.
func (e Entry) String() string {
	if e.Pattern != "" {
		return e.Package + " (" + e.Pattern + "), issue " + e.Issue
	}
	return e.Package + " " + e.Test + ", issue " + e.Issue
}

func invalid(format string, args ...any) error {
	return fault.New("read list", KindInvalid, format, args...)
}
