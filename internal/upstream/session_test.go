package upstream_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/upstream"
)

// session runs the commands of a testdata file on a group. The command back
// passes the result of a request to Finished, and pass lets time pass.
type session struct {
	now    time.Time
	cfg    upstream.Config
	group  *upstream.Group
	hosts  []platform.Host
	sentAt map[string]string
}

func (s *session) print(ds []upstream.Decision) string {
	var out strings.Builder
	for _, d := range ds {
		if d.Action == upstream.ActionSend {
			s.sentAt[d.Request.ID] = d.Instance.Name
			fmt.Fprintf(&out, "%s goes to %s\n", d.Request.ID, d.Instance.Name)
			continue
		}
		fmt.Fprintf(&out, "%s did not run: %s; come back in %v\n", d.Request.ID, d.Reason, d.RetryAfter)
	}
	l := s.group.Load(s.now)
	fmt.Fprintf(&out, "%v: %d of %d slots run, %d wait\n", s.now.Sub(time.Unix(0, 0)), l.Running, l.Slots, l.Waiting)
	return out.String()
}

func duration(t *testing.T, d *datadriven.TestData, name string, otherwise time.Duration) time.Duration {
	var text string
	d.MaybeScanArgs(t, name, &text)
	if text == "" {
		return otherwise
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func (s *session) run(t *testing.T, d *datadriven.TestData) string {
	var id, name string
	d.MaybeScanArgs(t, "id", &id)
	d.MaybeScanArgs(t, "instance", &name)
	switch d.Cmd {
	case "group":
		s.cfg = upstream.DefaultConfig()
		s.cfg.Queue, s.cfg.CallerQueue = 4, 3
		s.now, s.sentAt, s.hosts = time.Unix(0, 0), map[string]string{}, nil
		instances, slots := 2, 2
		d.MaybeScanArgs(t, "instances", &instances)
		d.MaybeScanArgs(t, "slots", &slots)
		for n := range instances {
			s.hosts = append(s.hosts, platform.Host{Name: fmt.Sprintf("desk-%d", n), Slots: slots, Connections: 64})
		}
		s.group = upstream.New(s.cfg, s.hosts, !d.HasArg("taken-over"), s.now)
		return s.print(nil)
	case "arrive":
		r := upstream.Request{ID: id, Urgent: d.HasArg("urgent"), Deadline: s.now.Add(duration(t, d, "deadline", time.Minute))}
		d.MaybeScanArgs(t, "caller", &r.Caller)
		d.MaybeScanArgs(t, "avoid", &r.Avoid)
		return s.print(s.group.Arrive(r, s.now))
	case "back":
		var result string
		d.ScanArgs(t, "result", &result)
		results := map[string]upstream.Result{
			"answered": upstream.ResultAnswered, "failed": upstream.ResultFailed,
			"not-run": upstream.ResultNotRun, "unknown": upstream.ResultUnknown, "not-sent": upstream.ResultNotSent,
		}
		return s.print(s.group.Finished(s.sentAt[id], id, results[result], d.HasArg("leaving"), s.now))
	case "status":
		var running int
		d.ScanArgs(t, "running", &running)
		status := platform.UpstreamStatus{Running: running, Leaving: d.HasArg("leaving")}
		return s.print(s.group.StatusReported(name, status, s.now.Add(-duration(t, d, "asked", 0)), s.now))
	case "list":
		for n := range s.hosts {
			if s.hosts[n].Name == name {
				s.hosts[n].Leaving = d.HasArg("leaving")
			}
		}
		if d.HasArg("new") {
			s.hosts = append(s.hosts, platform.Host{Name: name, Slots: 2, Connections: 64})
		}
		return s.print(s.group.SetInstances(s.hosts, s.now))
	case "pass":
		s.now = s.now.Add(duration(t, d, "time", 0))
		return s.print(s.group.Tick(s.now))
	}
	t.Fatalf("%s: unknown command", d.Pos)
	return ""
}

func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &session{}
		datadriven.RunTest(t, path, s.run)
	})
}
