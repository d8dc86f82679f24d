package plan

import (
	"bytes"
	"fmt"
	"io"

	"cicadabarrow.example/cicadabarrow/internal/document"
	"cicadabarrow.example/cicadabarrow/internal/fault"
)

const (
	// MaxSectionBytes is the largest size of a section in JSON.
	MaxSectionBytes = 256 << 10
	// MaxDocumentBytes is the largest size of the whole plan in JSON.
	MaxDocumentBytes = 16 << 20
)

// DecodeSection decodes a section from JSON and checks its syntax and the
// values of single fields. An error of KindInvalid wraps document.Faults with
// every fault found. It does not check the rules that involve several fields
// or other sections; Check does.
func DecodeSection(r io.Reader) (Section, error) {
	s, faults, err := readSection(r)
	if err != nil {
		return Section{}, err
	}
	return s, invalidError("decode", faults)
}

// DecodeChecked decodes a section from JSON and applies the checks of both
// DecodeSection and Check, so that all faults are reported at once.
func DecodeChecked(r io.Reader, others Document, capacity Capacity) (Section, error) {
	s, faults, err := readSection(r)
	if err != nil {
		return Section{}, err
	}
	checkRules(s, others, capacity, &faults)
	return s, invalidError("check", faults)
}

// EncodeSection encodes a section as indented JSON.
func EncodeSection(s Section) ([]byte, error) {
	data, err := document.Encode(newWireSection(s))
	if err != nil {
		return nil, fault.New("encode", KindInvalid, "%w", err)
	}
	return data, nil
}

// wireDocument is the JSON form of a Document, with its sections ordered by
// team.
type wireDocument struct {
	Sections []wireSection `validate:"dive"`
}

// DecodeDocument decodes the whole plan from JSON.
func DecodeDocument(r io.Reader) (Document, error) {
	var w wireDocument
	faults, err := document.Decode(r, MaxDocumentBytes, &w)
	if err != nil {
		return nil, fault.New("decode", KindNotRun, "%w", err)
	}
	doc := make(Document, len(w.Sections))
	for i := range w.Sections {
		team := w.Sections[i].Team
		if _, duplicate := doc[team]; duplicate {
			faults.Add(fmt.Sprintf("Sections[%d].Team", i), team, "a team that no other section has")
		}
		doc[team] = w.Sections[i].section()
	}
	return doc, invalidError("decode", faults)
}

// EncodeDocument encodes the whole plan as indented JSON.
func EncodeDocument(doc Document) ([]byte, error) {
	w := wireDocument{Sections: make([]wireSection, 0, len(doc))}
	for _, team := range doc.Teams() {
		w.Sections = append(w.Sections, *newWireSection(doc[team]))
	}
	data, err := document.Encode(&w)
	if err != nil {
		return nil, fault.New("encode", KindInvalid, "%w", err)
	}
	return data, nil
}

func readSection(r io.Reader) (Section, document.Faults, error) {
	var w wireSection
	faults, err := document.Decode(r, MaxSectionBytes, &w)
	if err != nil {
		return Section{}, nil, fault.New("decode", KindNotRun, "%w", err)
	}
	return w.section(), faults, nil
}

// decodeRow decodes a section from the value of its row. The revision is the
// version of the row.
func decodeRow(value []byte, version uint64) (Section, error) {
	s, err := DecodeSection(bytes.NewReader(value))
	s.Revision = version
	return s, err
}

func invalidError(op string, faults document.Faults) error {
	if len(faults) == 0 {
		return nil
	}
	return fault.New(op, KindInvalid, "%w", faults)
}
