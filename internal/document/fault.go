// Package document reads JSON documents strictly and lists all faults of one
// at once, each with its field, its value and the allowed range.
package document

import (
	"fmt"
	"strings"
)

// Root is the field of a fault that concerns the document as a whole.
const Root = "(document)"

// maxValueBytes bounds how much of a faulty value is repeated, in bytes.
const maxValueBytes = 80

// Fault is one fault of a document.
type Fault struct {
	// Field is the path of the field, such as "Lease.HostTTL" or "Peers[1]".
	Field string
	// Value is the faulty value, cut short when it is long.
	Value string
	// Allowed tells what is allowed instead.
	Allowed string
}

// String returns the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s is %s; allowed is %s", f.Field, f.Value, f.Allowed)
}

// Faults are all faults of one document. As an error it has a line for each.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Has reports whether the field, or a field that it lies in, has a fault.
func (f Faults) Has(field string) bool {
	for _, fault := range f {
		rest, inside := strings.CutPrefix(field, fault.Field)
		if fault.Field == Root || inside && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}

// Add appends a fault unless its field already has one.
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
