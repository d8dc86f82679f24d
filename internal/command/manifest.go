package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"unicode"

	"github.com/urfave/cli/v3"

	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/manifest/check"
	"cicadabarrow.example/cicadabarrow/internal/wire"
	"cicadabarrow.example/cicadabarrow/platform"
)

const flagInForce = "in-force"

// errFindings leads to exit status 1. The findings have been printed as the result, so that
// the error itself is not.
var errFindings = errors.New("the manifest has errors or warnings")

// manifestChecked is the JSON result of "manifest check". Scripts read it: fields are added,
// but none is renamed or removed.
type manifestChecked struct {
	File string
	// Version is 0 if the manifest was rejected, and InForce if no version was given.
	Version  uint64
	InForce  uint64
	Errors   int
	Warnings int
	Notes    int
	Findings []manifestFinding
}

type manifestFinding struct {
	Severity    string
	Kind        string
	SubjectType string
	Subject     string
	Text        string
}

func manifestCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "manifest",
		Usage:       "works with the operator's manifest",
		Description: example("cicadabarrow manifest check --file next.json --in-force current.json"),
		Commands: []*cli.Command{{
			Name:  "check",
			Usage: "checks a manifest before it is sent, and compares it with the version in force",
			Description: "The files are JSON with the platform's names, or msgpack as stored. The exit status is 0,\n" +
				"1 with errors or warnings, or 2 if the check could not run. Keys are never shown.\n\n" +
				example("cicadabarrow manifest check --file next.json --in-force current.json"),
			Flags: []cli.Flag{
				&cli.StringFlag{Name: flagFile, Usage: "`FILE` with the manifest to check (- reads standard input)", Required: true},
				&cli.StringFlag{Name: flagInForce, Usage: "`FILE` with the version in force, to show the differences"},
				formatFlag(),
			},
			Action: func(_ context.Context, cmd *cli.Command) error { return checkManifest(stdout, cmd) },
		}},
	}
}

// checkManifest prints the findings on a manifest. It returns errFindings if there are errors
// or warnings; any other error means that the check could not run.
func checkManifest(stdout io.Writer, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usageError(cmd, "%d arguments given; none is allowed", cmd.Args().Len())
	}
	var inForce *manifest.Manifest
	if name := cmd.String(flagInForce); name != "" {
		file, err := readManifestFile(name)
		if err != nil {
			return err
		}
		decoded, rejected := platform.Manifests{}.Inspect(file)
		if len(rejected) > 0 {
			return fmt.Errorf("%s cannot be in force: %s", name, rejectionText(rejected[0]))
		}
		inForce = decoded
	}
	name := cmd.String(flagFile)
	file, err := readManifestFile(name)
	if err != nil {
		return err
	}
	checked := inspectManifest(name, file, inForce)
	if err := show(stdout, cmd.String(flagFormat), result{JSON: checked, Text: checked.write}); err != nil {
		return err
	}
	if checked.Errors+checked.Warnings > 0 {
		return errFindings
	}
	return nil
}

// readManifestFile reads a file up to a size that hosts can decode, and one byte more.
func readManifestFile(name string) ([]byte, error) {
	in := io.Reader(os.Stdin)
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	data, err := io.ReadAll(io.LimitReader(in, wire.MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return data, nil
}

func inspectManifest(name string, file []byte, inForce *manifest.Manifest) manifestChecked {
	next, rejected := platform.Manifests{}.Inspect(file)
	var findings []check.Finding
	add := func(severity check.Severity, kind check.Kind, field, text string) {
		subject := check.Subject{Type: check.SubjectField, Name: field}
		if field == "" {
			subject = check.Subject{Type: check.SubjectFile, Name: name}
		}
		findings = append(findings, check.Finding{Severity: severity, Kind: kind, Subject: subject, Text: text})
	}
	for _, r := range rejected {
		add(check.SeverityError, check.KindRejected, r.Field, r.Text)
	}
	for _, m := range (platform.Manifests{}).Misspellings(file) {
		add(check.SeverityWarning, check.KindMisspelled, m.Field, fmt.Sprintf("hosts do not read this field; they read %s, which is missing", m.Known))
	}
	out := manifestChecked{File: name, Findings: []manifestFinding{}}
	if inForce != nil {
		out.InForce = inForce.Version
	}
	if next != nil {
		out.Version = next.Version
		findings = append(findings, check.Manifest(next, inForce)...)
	}
	check.Sort(findings)
	for _, f := range findings {
		out.add(f)
	}
	return out
}

func (m *manifestChecked) add(f check.Finding) {
	switch f.Severity {
	case check.SeverityError:
		m.Errors++
	case check.SeverityWarning:
		m.Warnings++
	case check.SeverityNote:
		m.Notes++
	}
	m.Findings = append(m.Findings, manifestFinding{
		Severity: string(f.Severity), Kind: string(f.Kind), SubjectType: string(f.Subject.Type), Subject: f.Subject.Name, Text: f.Text,
	})
}

// write prints the findings as text.
func (m manifestChecked) write(w io.Writer) {
	if len(m.Findings) > 0 {
		row(w, "SEVERITY", "SUBJECT", "KIND", "FINDING")
	}
	for _, f := range m.Findings {
		row(w, f.Severity, subjectText(f), f.Kind, f.Text)
	}
	version := "no usable version"
	if m.Version > 0 {
		version = fmt.Sprintf("version %d", m.Version)
	}
	if m.InForce > 0 {
		version += fmt.Sprintf(" (in force: %d)", m.InForce)
	}
	row(w, fmt.Sprintf("%s: %s; errors: %d, warnings: %d, notes: %d", m.File, version, m.Errors, m.Warnings, m.Notes))
}

// subjectText formats a subject. A name that is not printable is quoted.
func subjectText(f manifestFinding) string {
	name := f.Subject
	if strings.ContainsFunc(name, func(r rune) bool { return !unicode.IsPrint(r) }) {
		name = strconv.Quote(name)
	}
	return strings.TrimSpace(f.SubjectType + " " + name)
}

func rejectionText(r platform.Rejection) string {
	if r.Field == "" {
		return r.Text
	}
	return r.Field + ": " + r.Text
}
