package settings

import (
	"fmt"
	"io"
	"os"

	"cicadabarrow.example/cicadabarrow/internal/credential"
	"cicadabarrow.example/cicadabarrow/internal/document"
	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// maxFileBytes is the largest size of a settings file.
const maxFileBytes = 1 << 20

// Load reads and validates the settings file at a path.
func Load(path string) (Settings, error) {
	file, err := os.Open(path)
	if err != nil {
		return Settings{}, fault.New("load", KindUnreadable, "%w", err)
	}
	defer func() { _ = file.Close() }()
	return Read(file)
}

// Read decodes and validates settings in JSON. An error of KindInvalid wraps
// document.Faults with every fault found.
func Read(r io.Reader) (Settings, error) {
	var w wire
	faults, err := document.Decode(r, maxFileBytes, &w)
	if err != nil {
		return Settings{}, fault.New("read", KindUnreadable, "%w", err)
	}
	s := w.settings()
	s.check(&faults)
	if len(faults) > 0 {
		return Settings{}, fault.New("read", KindInvalid, "%w", faults)
	}
	return s, nil
}

// check validates the rules that involve several fields.
func (s *Settings) check(faults *document.Faults) {
	if !faults.Has("PeerAddr") && s.Advertise.Addr().IsUnspecified() {
		faults.Add("Advertise", s.Advertise, "an address that peers can dial; it is PeerAddr when left out")
	}
	if !faults.Has("PeerAddr") && s.PeerAddr == s.HTTPAddr {
		faults.Add("HTTPAddr", s.HTTPAddr, "an address other than PeerAddr")
	}
	if s.TLS.CertFile == "" && s.TLS.KeyFile != "" {
		faults.Add("TLS.CertFile", s.TLS.CertFile, "a file, since KeyFile names one")
	}
	if s.TLS.KeyFile == "" && s.TLS.CertFile != "" {
		faults.Add("TLS.KeyFile", s.TLS.KeyFile, "a file, since CertFile names one")
	}
	if !faults.Has("Limits.MaxDeadline") && s.Limits.DefaultDeadline > s.Limits.MaxDeadline {
		faults.Add("Limits.DefaultDeadline", s.Limits.DefaultDeadline,
			fmt.Sprintf("at most MaxDeadline (%v)", s.Limits.MaxDeadline))
	}
	s.Lease.check(faults)
}

// check validates that every lease outlasts one lost renewal, and that a
// promise is not valid for longer than a host's lease row.
func (l *Lease) check(faults *document.Faults) {
	if !faults.Has("Lease.HostTTL") && 2*l.RenewEvery >= l.HostTTL {
		faults.Add("Lease.RenewEvery", l.RenewEvery, fmt.Sprintf("less than half of HostTTL (%v)", l.HostTTL))
	}
	if !faults.Has("Lease.HostTTL") && l.PromiseFor > l.HostTTL {
		faults.Add("Lease.PromiseFor", l.PromiseFor, fmt.Sprintf("at most HostTTL (%v)", l.HostTTL))
	}
	if !faults.Has("Lease.RenewEvery") && l.PromiseFor <= 2*l.RenewEvery {
		faults.Add("Lease.PromiseFor", l.PromiseFor, fmt.Sprintf("more than twice RenewEvery (%v)", l.RenewEvery))
	}
	if !faults.Has("Lease.TaskLease") && 2*l.ReportEvery >= l.TaskLease {
		faults.Add("Lease.ReportEvery", l.ReportEvery, fmt.Sprintf("less than half of TaskLease (%v)", l.TaskLease))
	}
}

// Keys loads the keys from KeysFile.
func (s *Settings) Keys() (*credential.Keys, error) { return credential.Load(s.KeysFile) }
