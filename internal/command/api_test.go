package command

import (
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/credential"
	"cicadabarrow.example/cicadabarrow/internal/daemon"
	"cicadabarrow.example/cicadabarrow/internal/settings"
	"cicadabarrow.example/cicadabarrow/internal/standin"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const (
	apiPage = "../../docs/API.md"
	apiKey  = "api-operator-key-0001"
	// apiExamples is the minimum number of examples that the page must have.
	apiExamples = 12
)

// TestAPIExamples runs the examples of the page docs/API.md in their order
// against a real entry host. "..." in an expected output matches anything.
func TestAPIExamples(t *testing.T) {
	page, err := os.ReadFile(apiPage)
	if err != nil {
		t.Fatal(err)
	}
	examples := regexp.MustCompile("(?s)```sh\n(.*?)```\n\n```text\n(.*?)```").FindAllStringSubmatch(string(page), -1)
	if len(examples) < apiExamples || len(examples) != strings.Count(string(page), "```sh") {
		t.Fatalf("found %d examples with expected output", len(examples))
	}
	server, dir := serveInProcess(t), t.TempDir()
	awaitReady(t, server)
	for _, example := range examples {
		cmd := exec.Command("sh", "-ec", example[1])
		cmd.Dir = dir
		cmd.Env = append(os.Environ(), "SERVER="+server, "KEY="+apiKey)
		got, err := cmd.CombinedOutput()
		want := strings.ReplaceAll(regexp.QuoteMeta(strings.TrimSpace(example[2])), `\.\.\.`, ".*")
		if err != nil || !regexp.MustCompile("(?s)^"+want+"$").MatchString(strings.TrimSpace(string(got))) {
			t.Errorf("%v\n%sgave\n%s\nwant\n%s", err, example[1], got, example[2])
		}
	}
}

// awaitReady waits until an upstream of the host answers a request and the host
// lists jobs.
func awaitReady(t *testing.T, server string) {
	script := `curl -s -H "Authorization: Bearer $KEY" -d x -w %{http_code} -o /dev/null $SERVER/v1/services/escrow-desk/check;` +
		`curl -s -H "Authorization: Bearer $KEY" -w %{http_code} -o /dev/null $SERVER/v1/jobs`
	for end := time.Now().Add(conditionTimeout); ; <-time.After(conditionPoll) {
		cmd := exec.Command("sh", "-c", script)
		cmd.Env = append(os.Environ(), "SERVER="+server, "KEY="+apiKey)
		got, _ := cmd.Output()
		if string(got) == "200200" {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the host is not ready; status codes: %s", got)
		}
	}
}

// serveInProcess runs one entry host of a stand-in platform and returns its
// base URL.
func serveInProcess(t *testing.T) string {
	ports := freePorts(t, 2)
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := netip.MustParseAddrPort(listen.Addr().String())
	peer := netip.MustParseAddrPort("127.0.0.1:" + ports[0])
	d, err := newStandIn(settings.StandIn{Addr: at, Deployment: "tsukushi", Seed: 1, EntryHosts: []settings.EntryHost{
		{Name: "kita-hakata-1", DataCentre: "kita-hakata", PeerAddr: peer},
	}})
	if err != nil {
		t.Fatal(err)
	}
	platform := standin.NewServer(d, listen, zap.NewNop())
	t.Cleanup(platform.Close)
	keys := filepath.Join(t.TempDir(), "keys.json")
	text := `[{"Name": "operator", "Role": "Operator", "HashSHA256": "` + credential.Hash(apiKey) + `"}]`
	if err := os.WriteFile(keys, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	base := "http://" + at.String()
	s, err := settings.Read(strings.NewReader(`{"Name": "kita-hakata-1", "Region": "kita", "DataCentre": "kita-hakata",
		"PeerAddr": "` + peer.String() + `", "HTTPAddr": "127.0.0.1:` + ports[1] + `", "KeysFile": "` + keys + `",
		"Platform": {"TableURL": "` + base + `", "ObjectsURL": "` + base + `", "HostsURL": "` + base + `"}}`))
	if err != nil {
		t.Fatal(err)
	}
	host, err := daemon.New(s, timer.NewSystem(), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Close)
	return "http://127.0.0.1:" + ports[1]
}
