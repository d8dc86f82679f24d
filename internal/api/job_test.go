package api

import (
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cicadabarrow.example/cicadabarrow/internal/document"
	"cicadabarrow.example/cicadabarrow/internal/fault"
)

func TestDecodeJob(t *testing.T) {
	datadriven.RunTest(t, "testdata/jobs", func(t *testing.T, d *datadriven.TestData) string {
		spec, err := DecodeJob(strings.NewReader(d.Input))
		var faults document.Faults
		if errors.As(err, &faults) {
			return faults.Error() + "\n"
		}
		if err != nil {
			t.Fatal(err)
		}
		data, err := json.MarshalIndent(NewJob(spec), "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		return string(data) + "\n"
	})
}

func FuzzDecodeJob(f *testing.F) {
	golden, err := os.ReadFile("testdata/jobs")
	if err != nil {
		f.Fatal(err)
	}
	for part := range strings.SplitSeq(string(golden), "----") {
		f.Add(part[max(0, strings.Index(part, "{")):])
	}
	f.Fuzz(func(t *testing.T, text string) {
		spec, err := DecodeJob(strings.NewReader(text))
		if err != nil {
			if !fault.Is(err, KindInvalid) {
				t.Fatalf("the error is not of KindInvalid: %v", err)
			}
			return
		}
		data, err := json.Marshal(NewJob(spec))
		if err != nil {
			t.Fatal(err)
		}
		if again, err := DecodeJob(strings.NewReader(string(data))); err != nil || again != spec {
			t.Fatalf("decoded again as %+v, %v; first as %+v", again, err, spec)
		}
	})
}
