package plan

import (
	"bytes"
	"path"
	"strconv"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/document"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// wirePast is an accepted edit in JSON.
type wirePast struct {
	Author   string
	At       string `validate:"datetime=2006-01-02T15:04:05Z07:00"`
	Base     uint64
	Revision uint64
	Section  wireSection
}

func newWirePast(p HistoryEntry) *wirePast {
	return &wirePast{
		Author:   p.Author,
		At:       p.At.UTC().Format(time.RFC3339),
		Base:     p.Base,
		Revision: p.Section.Revision,
		Section:  *newWireSection(p.Section),
	}
}

func (w *wirePast) past() HistoryEntry {
	at, err := time.Parse(time.RFC3339, w.At)
	if err != nil {
		at = time.Time{}
	}
	return HistoryEntry{Base: w.Base, Author: w.Author, At: at, Section: w.Section.section()}
}

// EncodeHistory writes accepted edits as a JSON list.
func EncodeHistory(all []HistoryEntry) ([]byte, error) {
	list := make([]*wirePast, 0, len(all))
	for _, p := range all {
		list = append(list, newWirePast(p))
	}
	data, err := document.Encode(list)
	if err != nil {
		return nil, fault.New("encode", KindInvalid, "%w", err)
	}
	return data, nil
}

// DecodeHistory reads accepted edits from a JSON list.
func DecodeHistory(data []byte) ([]HistoryEntry, error) {
	var list []wirePast
	faults, err := document.Decode(bytes.NewReader(data), MaxDocumentBytes, &list)
	if err != nil {
		return nil, fault.New("decode", KindNotRun, "%w", err)
	}
	all := make([]HistoryEntry, 0, len(list))
	for i := range list {
		all = append(all, list[i].past())
	}
	return all, invalid("decode", faults)
}

func encodePast(p HistoryEntry) ([]byte, error) {
	data, err := document.Encode(newWirePast(p))
	if err != nil {
		return nil, fault.New("encode", KindInvalid, "%w", err)
	}
	return data, nil
}

// decodePast reads a history row: its version is the revision that the edit
// got, its key ends in the revision that the edit was made from.
func decodePast(row platform.Row) (HistoryEntry, error) {
	var w wirePast
	faults, err := document.Decode(bytes.NewReader(row.Value), 2*MaxSectionBytes, &w)
	if err != nil {
		return HistoryEntry{}, fault.New("decode", KindNotRun, "%w", err)
	}
	base, err := strconv.ParseUint(path.Base(row.Key), 10, 64)
	if err != nil {
		faults.Add("(key)", row.Key, "a key that ends in a revision")
	}
	p := w.past()
	p.Base, p.Section.Revision = base, row.Version
	return p, invalid("decode", faults)
}
