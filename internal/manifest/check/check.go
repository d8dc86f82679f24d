// Package check finds faults and contradictions in a manifest before it is sent, and tells
// how it differs from the version in force and what the differences do.
//
// The package does no input or output. It never sees keys, only their hashes, and its
// findings contain only their numbers.
package check

import (
	"cmp"
	"fmt"
	"slices"

	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

// Severity tells how serious a finding is.
type Severity string

const (
	// SeverityError means that the manifest, or a part of it, cannot work.
	SeverityError Severity = "error"
	// SeverityWarning means that it works, but hardly as intended.
	SeverityWarning Severity = "warning"
	// SeverityNote means that nothing is wrong; it tells what the manifest or a
	// difference does.
	SeverityNote Severity = "note"
)

// severities has the severities in the order of the findings.
var severities = []Severity{SeverityError, SeverityWarning, SeverityNote}

// SubjectType is the type of the entry that a finding is about.
type SubjectType string

// The types of subjects. SubjectManifest is the manifest as a whole, without a name;
// SubjectFile is the operator's file, of which nothing could be read, and SubjectField a field
// of it; SubjectLimit is a limit on the requests of clients.
const (
	SubjectManifest SubjectType = "manifest"
	SubjectFile     SubjectType = "file"
	SubjectField    SubjectType = "field"
	SubjectQueue    SubjectType = "queue"
	SubjectService  SubjectType = "service"
	SubjectAccount  SubjectType = "account"
	SubjectLimit    SubjectType = "limit"
)

// Subject is the entry that a finding is about.
type Subject struct {
	Type SubjectType
	// Name is what the manifest calls the entry, or the name of the limit or of the file.
	Name string
}

// Finding is one result of a check.
type Finding struct {
	Severity Severity
	Kind     Kind
	Subject  Subject
	// Text says what is wrong, or what a difference does.
	Text string
}

// Manifest checks a manifest, and compares it with the version in force, which is nil if it
// is not known. The findings are in a fixed order: by severity, then queues, services,
// accounts, limits and differences, each in the order of the manifest.
func Manifest(next, inForce *manifest.Manifest) []Finding {
	c := &checker{next: next}
	c.checkQueues()
	c.checkServices()
	c.checkPriorities()
	c.checkAccounts()
	c.checkLimits()
	if inForce != nil {
		c.compare(inForce)
	}
	Sort(c.findings)
	return c.findings
}

// Sort orders findings by severity, and keeps the order of those with the same one.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Compare(slices.Index(severities, a.Severity), slices.Index(severities, b.Severity))
	})
}

// checker collects the findings on a manifest.
type checker struct {
	next     *manifest.Manifest
	findings []Finding
}

func (c *checker) add(severity Severity, kind Kind, subject Subject, format string, args ...any) {
	c.findings = append(c.findings, Finding{severity, kind, subject, fmt.Sprintf(format, args...)})
}

func whole() Subject { return Subject{Type: SubjectManifest} }

func queueSubject(q *manifest.Queue) Subject { return Subject{SubjectQueue, q.Name} }

func serviceSubject(name string) Subject { return Subject{SubjectService, name} }

func accountSubject(name string) Subject { return Subject{SubjectAccount, name} }

func limitSubject(name string) Subject { return Subject{SubjectLimit, name} }

// plural returns a number with a noun, which gets an s unless the number is 1.
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
