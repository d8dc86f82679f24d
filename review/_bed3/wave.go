package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// runWave plays a wave while owners are killed and orders get lost.
func runWave(b *bed) (int, error) {
	seconds, _ := strconv.Atoi(os.Getenv("SECONDS_LONG"))
	seconds = max(seconds, 60)
	service := newMachineService(b)
	var err error
	if b.machines, err = service.listen(); err != nil {
		return couldNotRun, err
	}
	b.tracker = newTracker(2, b.record)
	if err := b.begin(5, 10); err != nil {
		return couldNotRun, err
	}
	var names []string
	for _, m := range b.minions {
		service.add(m)
		names = append(names, m.machine)
	}
	const id = "5c0e7a21d94b36f8"
	job := map[string]any{"spec": "last", "steps": []map[string]any{{
		"count": 12, "cpu": 6700, "mem_mb": 6900, "estimate_ms": 500, "long_running": true, "image": "watch", "may_miss": 2,
	}}}
	if !b.submit(plainQueue+id, job) || !b.awaitRunning(12, 15*time.Second) {
		return couldNotRun, fmt.Errorf("the job does not run")
	}
	if b.trouble {
		service.loseShare = 0.3
		go b.killOwners(time.Duration(seconds)*time.Second, os.Getenv("KILL") != "0")
	}
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	for wave := 1; time.Now().Before(end); wave++ {
		service.order(waveOrder{Wave: wave, Machines: names, DurationS: 40, Cap: 1 + wave%3})
		b.record.add("wave %d is ordered", wave)
		for time.Now().Before(end) {
			time.Sleep(100 * time.Millisecond)
			var status struct {
				State string `msgpack:"state"`
			}
			value := b.store.read("status", fmt.Sprintf("wave/%d", wave))
			if value == nil || msgpack.Unmarshal(value, &status) != nil || status.State != "completed" {
				continue
			}
			b.record.add("wave %d is shown as completed", wave)
			service.mu.Lock()
			for _, name := range names {
				if !service.machines[name].begun[wave] {
					service.violated("MIXED: wave %d is completed without %s", wave, name)
				}
			}
			service.mu.Unlock()
			break
		}
	}
	b.record.add("the job is %s", b.state(plainQueue+id))
	service.mu.Lock()
	defer service.mu.Unlock()
	if len(service.broken)+len(b.tracker.broken) > 0 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

// killOwners kills the host that owns the cell, again and again.
func (b *bed) killOwners(within time.Duration, kill bool) {
	for end := time.Now().Add(within); time.Now().Before(end); {
		time.Sleep(4*time.Second + rand.N(6*time.Second))
		h := b.owner()
		if h == nil || !kill {
			continue
		}
		b.record.add("%s, the owner, is killed", h.name)
		h.kill()
		time.Sleep(1 * time.Second)
		if err := h.start(); err != nil {
			b.record.add("%s cannot start: %v", h.name, err)
		}
	}
}
