package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// entryHost is a process of the system.
type entryHost struct {
	name, settings, log                 string
	peerAddr, clientAddr, readinessAddr netip.AddrPort
	cmd                                 *exec.Cmd
	exited                              chan struct{}
}

// freePort returns a loopback address that nobody listens on.
func freePort() (netip.AddrPort, error) {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer func() { _ = listen.Close() }()
	return netip.ParseAddrPort(listen.Addr().String())
}

// newHosts writes the settings files of some hosts. The seeds are the first three.
func newHosts(dir string, count int, storeAddr, otherAddr netip.AddrPort) ([]*entryHost, error) {
	hosts := make([]*entryHost, count)
	var seeds []string
	for i := range hosts {
		h := &entryHost{name: fmt.Sprintf("edge-%s-%d", zone, i+1)}
		for _, addr := range []*netip.AddrPort{&h.peerAddr, &h.clientAddr, &h.readinessAddr} {
			var err error
			if *addr, err = freePort(); err != nil {
				return nil, err
			}
		}
		h.settings, h.log = filepath.Join(dir, h.name+".json"), filepath.Join(dir, h.name+".log")
		if i < 3 {
			seeds = append(seeds, h.peerAddr.String())
		}
		hosts[i] = h
	}
	for _, h := range hosts {
		file, err := json.MarshalIndent(map[string]any{
			"Name": h.name, "Region": region, "DataCentre": zone, "PeerAddr": h.peerAddr.String(), "Seeds": seeds,
			"ClientAddr": h.clientAddr.String(), "HealthAddr": h.readinessAddr.String(), "StoreAddr": storeAddr.String(),
			"AdviceAddr": otherAddr.String(), "MachinesAddr": otherAddr.String(), "MemoryMB": 284, "MaxFiles": 4100,
			"ProcessorShare": 0.4, "LinkMbps": 1000.0, "Fenced": true,
			"Bounds": map[string]any{"MaxLease": "6000ms", "StopGrace": "6s", "KeepEnded": "120s"},
		}, "", "  ")
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(h.settings, file, 0o600); err != nil {
			return nil, err
		}
	}
	return hosts, nil
}

// startProcess starts the process with the command of the deploy file.
func (h *entryHost) startProcess() error {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	h.cmd = exec.Command("target/cicadabarrow", "host")
	h.cmd.Env = append(os.Environ(), "CICADABARROW_NODE_FILE="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.exited = exited
	cmd := h.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// end kills the process and waits for its end.
func (h *entryHost) end() {
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	<-h.exited
}

// awaitReady waits until a host says that it is ready.
func (h *entryHost) awaitReady(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.readinessAddr.String()+"/v1/readyz", nil)
		if err != nil {
			return err
		}
		if resp, err := http.DefaultClient.Do(r); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return errors.New(h.name + " is not ready")
		}
	}
}
