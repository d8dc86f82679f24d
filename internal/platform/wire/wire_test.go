package wire_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/platform/wire"
)

// checkRoundTrip checks that a decoded value is unchanged after it is encoded and
// decoded again, and that data which cannot be decoded gives an error of
// KindInvalid.
func checkRoundTrip[D any](t *testing.T, from func(D) any, decode func([]byte) (D, error), data []byte) {
	t.Helper()
	first, err := decode(data)
	if err != nil {
		if !fault.Is(err, platform.KindInvalid) {
			t.Errorf("error %v is not of KindInvalid", err)
		}
		return
	}
	second, err := decode(marshal(t, from(first)))
	if err != nil {
		t.Fatalf("%+v cannot be decoded again: %v", first, err)
	}
	if got, want := marshal(t, from(second)), marshal(t, from(first)); !reflect.DeepEqual(got, want) {
		t.Errorf("decoded again as %s, was %s", got, want)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"ID":"w","Checks":[{"Key":"a","Version":1}],"Writes":[{"Key":"a","Value":"eA=="},{"Key":"b","Delete":true}]}`))
	f.Add([]byte(`{"Rows":[{"Key":"plan/escrow","Version":3,"WriteID":"w","Value":"e30="}]}`))
	f.Add([]byte(`{"Hosts":[{"Name":"worker-000","Role":"Worker","Addr":"127.0.0.1:80","Room":{"MilliCores":32000}}]}`))
	f.Add([]byte(`{"Starts":[{"Attempt":{"Job":"j","Number":1},"RunTime":"5s","Until":"2026-01-01T00:00:00Z"}]}`))
	f.Add([]byte(`{"Since":"2026-01-01T00:00:00Z","Renewals":[{"Attempt":{"Job":"j"},"Until":"2026-01-01T00:00:30+09:00"}]}`))
	f.Add([]byte(`{"Now":"2026-01-01T00:00:00Z","Boot":"b","Tasks":[{"Attempt":{"Job":"j"},"State":"Running"}]}`))
	f.Add([]byte(`{"Stops":[{"Attempt":{"Job":"j","Index":2,"Number":1},"Checkpoint":true}]}`))
	f.Add([]byte(`{"Errors":[{"Kind":"not run","Message":"late"},{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		checkRoundTrip(t, func(c platform.Commit) any { return wire.FromCommit(c) },
			decoder(func(w wire.Commit) (platform.Commit, error) { return w.Domain(), nil }), data)
		checkRoundTrip(t, func(r []platform.Row) any { return wire.FromRows(r) },
			decoder(func(w wire.Rows) ([]platform.Row, error) { return w.Domain(), nil }), data)
		checkRoundTrip(t, func(h []platform.Host) any { return wire.FromHosts(h) },
			decoder(func(w wire.Hosts) ([]platform.Host, error) { return w.Domain("fuzz") }), data)
		checkRoundTrip(t, func(s []platform.Start) any { return wire.FromStarts(s) },
			decoder(func(w wire.Starts) ([]platform.Start, error) { return w.Domain("fuzz") }), data)
		checkRoundTrip(t, func(r platform.ReportRequest) any { return wire.FromReportRequest(r) },
			decoder(func(w wire.ReportRequest) (platform.ReportRequest, error) { return w.Domain("fuzz") }), data)
		checkRoundTrip(t, func(r platform.Report) any { return wire.FromReport(r) },
			decoder(func(w wire.Report) (platform.Report, error) { return w.Domain("fuzz") }), data)
		checkRoundTrip(t, func(s []platform.Stop) any { return wire.FromStops(s) },
			decoder(func(w wire.Stops) ([]platform.Stop, error) { return w.Domain(), nil }), data)
		checkRoundTrip(t, func(e []error) any { return wire.FromErrors(e) },
			decoder(func(w wire.Started) ([]error, error) { return w.Domain("fuzz"), nil }), data)
	})
}

func decoder[W, D any](domain func(W) (D, error)) func([]byte) (D, error) {
	return func(data []byte) (D, error) {
		w, err := wire.Decode[W]("fuzz", data)
		if err != nil {
			var zero D
			return zero, err
		}
		return domain(w)
	}
}

func marshal(t *testing.T, v any) []byte {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
