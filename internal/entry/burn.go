package entry

import (
	"context"
	"sync"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/burn"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// StartObserver is told of the first start of each task.
type StartObserver interface {
	FirstStarted(team, job string, wait time.Duration)
}

// Observer is told how callers' requests ended.
type Observer interface {
	Request(service string, took time.Duration, answered bool)
}

// Burn gathers the report on service-level burn from all entry hosts of the host
// list that can be reached.
func (h *Host) Burn(ctx context.Context) burn.Report {
	const burnTimeout = time.Second
	ctx, cancel := context.WithTimeout(ctx, burnTimeout)
	defer cancel()
	answers := []burn.HostCounts{{Host: h.cfg.Name, Objectives: h.recorder.Snapshot()}}
	var unreached []string
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, e := range h.hosts.All() {
		if e.Role != platform.RoleEntry || e.Name == h.cfg.Name {
			continue
		}
		calls.Go(func() {
			a, err := h.askBurn(ctx, e)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreached = append(unreached, e.Name)
				return
			}
			answers = append(answers, a)
		})
	}
	calls.Wait()
	return burn.Merge(h.plans.Book().Document(), answers, unreached, h.timers.Now())
}

func (h *Host) askBurn(ctx context.Context, e platform.Host) (burn.HostCounts, error) {
	reply, err := h.net.Call(ctx, e.Addr, message.EncodeBurnQuery(message.BurnQuery{}))
	if err != nil {
		return burn.HostCounts{}, err
	}
	m, err := message.DecodeBurnAnswer(reply)
	if err != nil {
		return burn.HostCounts{}, err
	}
	out := burn.HostCounts{Host: m.Host}
	for _, l := range m.Objectives {
		line := burn.ObjectiveCounts{Team: l.Team, Name: l.Name, Since: l.Since, Window: burn.Counts(l.Window)}
		for _, c := range l.Minutes {
			line.Minutes = append(line.Minutes, burn.Counts(c))
		}
		out.Objectives = append(out.Objectives, line)
	}
	return out, nil
}

// burnAnswer returns what this host counted.
func (h *Host) burnAnswer() message.BurnAnswer {
	out := message.BurnAnswer{Host: h.cfg.Name}
	for _, l := range h.recorder.Snapshot() {
		line := message.ObjectiveBurn{Team: l.Team, Name: l.Name, Since: l.Since, Window: message.BurnCounts(l.Window)}
		for _, c := range l.Minutes {
			line.Minutes = append(line.Minutes, message.BurnCounts(c))
		}
		out.Objectives = append(out.Objectives, line)
	}
	return out
}
