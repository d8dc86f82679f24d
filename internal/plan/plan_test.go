package plan

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cicadabarrow.example/cicadabarrow/internal/document"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
)

// TestSections reads sections from a data file. The command "accept" validates
// a section and adds it to the plan, "check" only validates it.
func TestSections(t *testing.T) {
	others := make(Document)
	capacity := Capacity{
		LargestWorker: job.Size{MilliCores: 32_000, MemoryMB: 64_000},
		Total:         job.Size{MilliCores: 1_600_000, MemoryMB: 3_200_000},
	}
	datadriven.RunTest(t, "testdata/sections", func(t *testing.T, d *datadriven.TestData) string {
		s, err := DecodeChecked(strings.NewReader(d.Input), others, capacity)
		var faults document.Faults
		if errors.As(err, &faults) {
			return faults.Error() + "\n"
		}
		if err != nil {
			return err.Error()
		}
		if d.Cmd == "accept" {
			others[s.Team] = s
		}
		data, err := EncodeSection(s)
		if err != nil {
			t.Fatal(err)
		}
		return string(data)
	})
	data, err := EncodeDocument(others)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeDocument(strings.NewReader(string(data)))
	if err != nil || fmt.Sprint(decoded) != fmt.Sprint(others) {
		t.Fatalf("decoded %v, %v; encoded %v", decoded, err, others)
	}
	duplicate := `{"Sections": [{"Team": "payments"}, {"Team": "payments"}]}`
	if _, err := DecodeDocument(strings.NewReader(duplicate)); !fault.Is(err, KindInvalid) {
		t.Fatalf("decoded a plan with a repeated team: %v", err)
	}
}

func FuzzDecodeSection(f *testing.F) {
	golden, err := os.ReadFile("testdata/sections")
	if err != nil {
		f.Fatal(err)
	}
	for part := range strings.SplitSeq(string(golden), "\n----\n") {
		if start := strings.Index(part, "{"); start >= 0 {
			f.Add(part[start:])
		}
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := DecodeSection(strings.NewReader(text))
		if err != nil {
			if !fault.Is(err, KindInvalid) {
				t.Fatalf("want an error of KindInvalid: %v", err)
			}
			return
		}
		data, err := EncodeSection(s)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeSection(strings.NewReader(string(data)))
		if err != nil || !reflect.DeepEqual(mustEncode(t, decoded), data) {
			t.Fatalf("decoded again as %+v, %v", decoded, err)
		}
	})
}

func mustEncode(t *testing.T, s Section) []byte {
	data, err := EncodeSection(s)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
