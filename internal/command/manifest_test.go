package command

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// The example as it is stored must give the same findings as in JSON, so that an operator can
// compare with a copy of the row in force.
func TestManifestCheckReadsWhatIsStored(t *testing.T) {
	outputs := make(map[bool]string)
	for _, stored := range []bool{false, true} {
		folder := t.TempDir()
		args := []string{"cicadabarrow", "manifest", "check", "--format", "json"}
		for flag, name := range map[string]string{"--file": "next.json", "--in-force": "current.json"} {
			content, err := os.ReadFile(filepath.Join("../../examples/manifests", name))
			if err != nil {
				t.Fatal(err)
			}
			if stored {
				content = encodeStored(t, content)
			}
			file := filepath.Join(folder, name)
			if err := os.WriteFile(file, content, 0o600); err != nil {
				t.Fatal(err)
			}
			args = append(args, flag, file)
		}
		var stdout, stderr bytes.Buffer
		if got := Run(context.Background(), NotifySignals(), args, &stdout, &stderr); got != exitFailed || stderr.Len() > 0 {
			t.Fatalf("stored: %v: exit status %d, standard error %q", stored, got, stderr.String())
		}
		outputs[stored] = strings.ReplaceAll(stdout.String(), folder, "")
	}
	if outputs[true] != outputs[false] {
		t.Errorf("as stored:\n%s\nin JSON:\n%s", outputs[true], outputs[false])
	}
}

// encodeStored encodes a JSON value as msgpack, with all numbers as floats or integers as the
// JSON text has them.
func encodeStored(t *testing.T, text []byte) []byte {
	t.Helper()
	var v any
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(&v); err != nil {
		t.Fatal(err)
	}
	value, err := msgpack.Marshal(withNumbers(v))
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func withNumbers(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for k, e := range v {
			v[k] = withNumbers(e)
		}
	case []any:
		for i, e := range v {
			v[i] = withNumbers(e)
		}
	case json.Number:
		if n, err := v.Int64(); err == nil {
			return n
		}
		f, _ := v.Float64()
		return f
	}
	return v
}
