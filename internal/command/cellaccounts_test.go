package command

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cicadabarrow.example/cicadabarrow/internal/api"
)

// Operators see the accounts of the cell as a table and as JSON, and a cell without
// accounts looks as before.
func TestCellAccountsAreShown(t *testing.T) {
	var shown api.Cell
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := json.NewEncoder(w).Encode(shown); err != nil {
			t.Error(err)
		}
	}))
	defer server.Close()
	run := func(args ...string) string {
		t.Helper()
		var stdout, stderr bytes.Buffer
		if code := Run(t.Context(), NotifySignals(), append([]string{"cicadabarrow", "cell"}, append(args, "--at", server.URL)...), &stdout, &stderr); code != exitDone {
			t.Fatalf("%v: exit status %d, %s", args, code, &stderr)
		}
		return stdout.String()
	}
	shown = api.Cell{Manifest: 7}
	if got := run("show"); strings.Contains(got, "ACCOUNT") {
		t.Errorf("a cell without accounts is shown as\n%s", got)
	}
	if got := run("accounts"); !strings.Contains(got, "No client accounts") {
		t.Errorf("no accounts are shown as\n%s", got)
	}
	if got := strings.TrimSpace(run("accounts", "--format", "json")); got != "[]" {
		t.Errorf("no accounts are, in JSON, %s", got)
	}
	shown.Accounts = []api.CellAccount{
		{
			Name: "north", Weight: 1.5, Share: 0.25, Cap: api.Size{MilliCores: 8000}, Use: api.Size{MilliCores: 7500, MemoryMB: 64},
			Waiting: 12, CapWaiting: 9, InExcess: 3, ExcessFor: "1.5s", Refused: 42,
		},
		{Name: "south", Removed: true, ExcessFor: "0s"},
	}
	for _, command := range []string{"show", "accounts"} {
		got := strings.Join(strings.Fields(run(command)), " ")
		for _, want := range []string{"north 1.5 25.0% 7500 of 8000 64 0 12 9 3 1.5s 42", "south 0 0.0% 0 0 0 0 0 0 0s 0 not in the manifest"} {
			if !strings.Contains(got, want) {
				t.Errorf("%s does not show %q:\n%s", command, want, got)
			}
		}
	}
	var decoded []api.CellAccount
	if err := json.Unmarshal([]byte(run("accounts", "--format", "json")), &decoded); err != nil || len(decoded) != 2 || decoded[0] != shown.Accounts[0] {
		t.Errorf("JSON: %+v, %v", decoded, err)
	}
}
