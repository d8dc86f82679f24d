package credential

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cicadabarrow.example/cicadabarrow/internal/document"
)

func TestLookup(t *testing.T) {
	operator, team := "operator-key-0001", "payments-key-0001"
	text := fmt.Sprintf(`[{"Name":"ops","Role":"Operator","HashSHA256":%q},
		{"Name":"payments","Role":"Team","Team":"payments","HashSHA256":%q},
		{"Name":"short","Role":"Operator","HashSHA256":%q}]`, Hash(operator), Hash(team), Hash(""))
	keys, err := Read(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		key              string
		want             string
		changesPayments  bool
		changesEditorial bool
	}{
		{operator, "ops", true, true},
		{team, "payments", true, false},
		{team + "x", "", false, false},
		{"", "", false, false},
	} {
		got, ok := keys.Lookup(c.key)
		if got.Name != c.want || ok != (c.want != "") {
			t.Errorf("Lookup(%q) = %v, %v", c.key, got, ok)
		}
		if got.MayChange("payments") != c.changesPayments || got.MayChange("editorial") != c.changesEditorial {
			t.Errorf("%q may change payments %v, editorial %v", c.want, got.MayChange("payments"), got.MayChange("editorial"))
		}
	}
}

func TestRead(t *testing.T) {
	datadriven.RunTest(t, "testdata/read", func(t *testing.T, d *datadriven.TestData) string {
		_, err := Read(strings.NewReader(d.Input))
		var faults document.Faults
		if errors.As(err, &faults) {
			return faults.Error() + "\n"
		}
		return fmt.Sprintln(err)
	})
}
