package processtest

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Host is an entry host that runs the command host as a process.
type Host struct {
	Process

	// Client, Health, Metrics and Peer are the addresses at which the host listens.
	Client  netip.AddrPort
	Health  netip.AddrPort
	Metrics netip.AddrPort
	Peer    netip.AddrPort

	settings     map[string]any
	settingsFile string
}

// NewHost returns a host that is not started. Its files are in a folder of the test; its
// settings are those given, with the name and the addresses of the host.
func NewHost(t *testing.T, dir, name string, settings map[string]any) *Host {
	t.Helper()
	h := &Host{
		Process: Process{Name: name, LogFile: filepath.Join(dir, name+".log")},
		Client:  FreeAddr(t), Health: FreeAddr(t), Metrics: FreeAddr(t), Peer: FreeAddr(t),
		settingsFile: filepath.Join(dir, name+".json"),
	}
	h.settings = maps.Clone(settings)
	h.settings["Name"], h.settings["Region"], h.settings["DataCentre"] = name, "r", "dc-1"
	h.settings["PeerAddr"], h.settings["ClientAddr"] = h.Peer, h.Client
	h.settings["HealthAddr"], h.settings["MetricsAddr"] = h.Health, h.Metrics
	h.write(t)
	return h
}

// Set changes a setting, which the process reads when it is started.
func (h *Host) Set(t *testing.T, name string, value any) {
	t.Helper()
	h.settings[name] = value
	h.write(t)
}

func (h *Host) write(t *testing.T) {
	t.Helper()
	body, err := json.Marshal(h.settings)
	if err == nil {
		err = os.WriteFile(h.settingsFile, body, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// Start starts the process with the binary of the product, and with further variables of
// the form NAME=VALUE. A host that has ended may be started again.
func (h *Host) Start(t *testing.T, binary string, variables ...string) {
	t.Helper()
	h.Process.Start(t, binary, []string{"host", "--settings", h.settingsFile}, variables...)
}

// Ready reports whether the host reports that it is ready.
func (h *Host) Ready() bool {
	response, err := http.Get("http://" + h.Health.String() + "/v1/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Owner returns the host whose log reports the latest epoch of ownership of the cell, or
// nil if none does.
func Owner(hosts []*Host) *Host {
	var owner *Host
	latest := 0
	for _, h := range hosts {
		for line := range strings.SplitSeq(h.Log(), "\n") {
			var entry struct {
				Msg   string `json:"msg"`
				Epoch int
			}
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Msg == "took over" && entry.Epoch > latest {
				owner, latest = h, entry.Epoch
			}
		}
	}
	return owner
}
