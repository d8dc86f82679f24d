package host

import (
	"errors"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// textManifests decodes no row that has a value, which is the text of the error.
type textManifests struct{ fakeManifests }

func (textManifests) Decode(value []byte) (*manifest.Manifest, error) {
	if len(value) > 0 {
		return nil, errors.New(string(value))
	}
	return &manifest.Manifest{}, nil
}

func (m textManifests) Wave(row rowstore.Row) (cell.Wave, bool, error) {
	_, err := m.Decode(row.Value)
	return cell.Wave{Number: int(row.Version)}, err == nil, err
}

// The operator's rows are read again after each failed call, and a newer manifest may come
// from several hosts.
func TestMalformedRowsOfTheOperatorAreLoggedOnce(t *testing.T) {
	core, logged := observer.New(zap.WarnLevel)
	h := &Host{
		platform: Platform{Manifests: textManifests{}}, log: zap.New(core), manifests: manifest.NewHolder(), timers: timer.NewSystem(),
		waves: make(map[int]cell.Wave),
	}
	row := func(name, value string) rowstore.Row {
		return rowstore.Row{Key: rowstore.Key{Name: name}, Value: []byte(value), Version: 5}
	}
	for range 10 {
		h.applyOperatorRows([]rowstore.Row{row("manifest", "odd"), row("wave/1", "odd"), row("wave/5", "")}, &storedManifest{}, true)
		h.adopt([]byte("odd"), "other")
	}
	if n := logged.Len(); n != 2 {
		t.Errorf("%d lines for two rows", n)
	}
	if _, ok := h.waves[5]; !ok {
		t.Error("the wave beside the malformed rows is not applied")
	}
	h.applyOperatorRows([]rowstore.Row{row("wave/1", "odd in another way"), row("manifest", "")}, &storedManifest{}, true)
	h.applyOperatorRows([]rowstore.Row{row("manifest", "odd")}, &storedManifest{}, true)
	if n := logged.Len(); n != 4 {
		t.Errorf("%d lines after two new errors", n)
	}
}
