package host

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/interference"
	"cicadabarrow.example/cicadabarrow/internal/message"
)

// The view crosses releases: a host passes on the document of an owner of another release,
// and the command line of another release reads it. What one of them does not know must not
// hide the rest.
func TestCellViewIsReadableAcrossReleases(t *testing.T) {
	overview := cell.Overview{Manifest: 7, Interference: cell.InterferenceView{
		Mode: interference.ModeAvoid, Classes: 3, Pairs: 1,
		Worst: []interference.Pair{{
			Task: interference.Class{Image: "shop", Serving: true}, Beside: interference.Class{Image: "crunch"}, Loss: 0.5, Age: 1234 * time.Millisecond,
		}},
	}}
	encoded, err := encodeView(encodeOverview(overview, "h1", 4))
	if err != nil {
		t.Fatal(err)
	}
	reply, err := message.DecodeCellLookupReply(encoded)
	if err != nil {
		t.Fatal(err)
	}
	var current api.Cell
	if err := json.Unmarshal(reply.Document, &current); err != nil {
		t.Fatal(err)
	}
	want := api.CellPair{Image: "shop", Serving: true, Beside: "crunch", Loss: 0.5, Age: "1.234s"}
	if v := current.Interference; v == nil || v.Mode != "Avoid" || v.Classes != 3 || v.Pairs != 1 || len(v.Worst) != 1 || v.Worst[0] != want {
		t.Errorf("%s", reply.Document)
	}
	// The fields that the command line of the earlier release reads.
	var earlier struct {
		Owner    string
		Epoch    uint64
		Manifest uint64
		Workers  []struct{ ID string }
	}
	if err := json.Unmarshal(reply.Document, &earlier); err != nil || earlier.Owner != "h1" || earlier.Epoch != 4 || earlier.Manifest != 7 {
		t.Errorf("the earlier release reads %+v, %v", earlier, err)
	}
	var ofEarlier api.Cell
	if err := json.Unmarshal([]byte(`{"Owner":"h2","Epoch":5,"Workers":[],"Waves":[]}`), &ofEarlier); err != nil || ofEarlier.Interference != nil || ofEarlier.Owner != "h2" {
		t.Errorf("the document of an earlier owner is read as %+v, %v", ofEarlier, err)
	}
}

// With the mode Off the view has to be as before.
func TestCellViewWithoutInterference(t *testing.T) {
	encoded, err := encodeView(encodeOverview(cell.Overview{}, "h1", 4))
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Contains(encoded.Body, []byte("Interference")) {
		t.Errorf("%s", encoded.Body)
	}
}
