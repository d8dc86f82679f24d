package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// entryHost is an entry host that runs as a process of the product.
type entryHost struct {
	name     string
	client   netip.AddrPort
	health   netip.AddrPort
	peer     netip.AddrPort
	settings string
	logFile  string
	process  *exec.Cmd
}

// freeAddr returns an address on loopback at which nothing listens.
func freeAddr() (netip.AddrPort, error) {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer func() { _ = listen.Close() }()
	return netip.ParseAddrPort(listen.Addr().String())
}

// bounds holds the durations of the settings of a host.
type bounds struct {
	maxLease  string
	stopGrace string
	keepEnded string
}

// smallBounds are those of the small deployments.
var smallBounds = bounds{maxLease: "6s", stopGrace: "6s", keepEnded: "120s"}

// newEntryHosts returns hosts with settings like those of a small deployment.
func newEntryHosts(dir string, n int, store netip.AddrPort, b bounds) ([]*entryHost, error) {
	hosts := make([]*entryHost, n)
	var seeds []netip.AddrPort
	for i := range hosts {
		h := &entryHost{name: fmt.Sprintf("edge-%d", i+1)}
		for _, addr := range []*netip.AddrPort{&h.client, &h.health, &h.peer} {
			var err error
			if *addr, err = freeAddr(); err != nil {
				return nil, err
			}
		}
		if len(seeds) < 3 {
			seeds = append(seeds, h.peer)
		}
		hosts[i] = h
	}
	for _, h := range hosts {
		body, err := json.Marshal(map[string]any{
			"Name": h.name, "Region": "kita", "DataCentre": "dc-1", "PeerAddr": h.peer, "Seeds": seeds, "ClientAddr": h.client,
			"HealthAddr": h.health, "StoreAddr": store, "StoreWrites": 600, "MemoryMB": 284, "MaxFiles": 4100,
			"ProcessorShare": 0.4, "LinkMbps": 1000, "Fenced": true,
			"Bounds": map[string]any{"MaxLease": b.maxLease, "StopGrace": b.stopGrace, "KeepEnded": b.keepEnded},
		})
		if err != nil {
			return nil, err
		}
		h.settings, h.logFile = filepath.Join(dir, h.name+".json"), filepath.Join(dir, h.name+".log")
		if err := os.WriteFile(h.settings, body, 0o600); err != nil {
			return nil, err
		}
	}
	return hosts, nil
}

// start starts the process with the command of the deploy file.
func (h *entryHost) start() error {
	log, err := os.OpenFile(h.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	h.process = exec.Command("target/cicadabarrow", "host")
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CICADABARROW_NODE_FILE=" + h.settings}
	h.process.Stdout, h.process.Stderr = log, log
	// The process ends with this one, however this one ends.
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return h.process.Start()
}

// kill ends the process and waits for it.
func (h *entryHost) kill() {
	if h.process == nil || h.process.Process == nil {
		return
	}
	_ = h.process.Process.Kill()
	_ = h.process.Wait()
}

// ready reports whether the host reports that it is ready.
func (h *entryHost) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.health.String() + "/v1/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func awaitReady(hosts []*entryHost, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range hosts {
			if h.ready() {
				ready++
			}
		}
		if ready == len(hosts) {
			return true
		}
	}
	return false
}

// queueHost is the host name of the queue, and plainQueue its prefix.
const (
	queueHost  = "nony24.example"
	plainQueue = "/lohu930/"
)

// call sends a client's request to a host, and returns the status and the fields of the
// answer. The status is 0 without an answer.
func (h *entryHost) call(method, path string, body any, deadline time.Duration) (int, map[string]any) {
	var reader bytes.Buffer
	if body != nil {
		if err := msgpack.NewEncoder(&reader).Encode(body); err != nil {
			return 0, nil
		}
	}
	request, err := http.NewRequest(method, "http://"+h.client.String()+path, &reader)
	if err != nil {
		return 0, nil
	}
	request.Host = queueHost
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Content-Type", "application/msgpack")
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	var out map[string]any
	_ = msgpack.NewDecoder(response.Body).Decode(&out)
	return response.StatusCode, out
}
