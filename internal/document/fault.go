// Package document decodes and validates JSON documents, such as settings files and
// the bodies of requests, strictly. It reports all faults of a document at once,
// each with its field, its value and the allowed values.
//
// A wire struct is the Go struct into which a document is decoded: its fields have
// the names of the JSON fields, and its validate tags state the allowed values.
package document

import (
	"fmt"
	"strings"
)

// Root is the value of Fault.Field for a fault of the whole document.
const Root = "(document)"

// maxValueBytes is the length in bytes after which a faulty value is truncated.
const maxValueBytes = 80

// Fault is one validation error of a document. It is unrelated to package fault,
// which defines the errors of the other packages.
type Fault struct {
	// Field is the path of the field, such as "Lease.HostTTL" or "Peers[1]".
	Field string
	// Value is the faulty value, truncated if it is long.
	Value string
	// Allowed describes the allowed values.
	Allowed string
}

// String returns a text of one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s is %s; allowed is %s", f.Field, f.Value, f.Allowed)
}

// Faults holds all faults of one document and is an error.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Has reports whether the field, or a field that contains it, has a fault. A
// fault of Root concerns every field.
func (f Faults) Has(field string) bool {
	for _, fault := range f {
		rest, inside := strings.CutPrefix(field, fault.Field)
		if fault.Field == Root || inside && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}

// Add appends a fault unless Has reports one for the field.
func (f *Faults) Add(field string, value any, allowed string) {
	if f.Has(field) {
		return
	}
	*f = append(*f, Fault{Field: field, Value: formatValue(value), Allowed: allowed})
}

func formatValue(value any) string {
	text := fmt.Sprintf("%v", value)
	if s, ok := value.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	return truncate(text)
}

func truncate(text string) string {
	if len(text) > maxValueBytes {
		text = strings.ToValidUTF8(text[:maxValueBytes], "") + "..."
	}
	return text
}
