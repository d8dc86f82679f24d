package standin_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/platform/hostlist"
	"cicadabarrow.example/cicadabarrow/internal/platform/object"
	"cicadabarrow.example/cicadabarrow/internal/platform/table"
	"cicadabarrow.example/cicadabarrow/internal/platform/upstream"
	"cicadabarrow.example/cicadabarrow/internal/platform/wire"
	"cicadabarrow.example/cicadabarrow/internal/platform/worker"
	"cicadabarrow.example/cicadabarrow/internal/standin"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

type tables interface {
	Get(ctx context.Context, key string) (platform.Row, error)
	List(ctx context.Context, prefix string, after uint64, limit int) ([]platform.Row, error)
	Commit(ctx context.Context, c platform.Commit) (uint64, error)
}

type objects interface {
	Put(ctx context.Context, name string, content []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	Delete(ctx context.Context, name string) error
}

type hosts interface {
	Hosts(ctx context.Context) ([]platform.Host, error)
}

type workers interface {
	Start(ctx context.Context, host platform.Host, starts []platform.Start) ([]error, error)
	Report(ctx context.Context, host platform.Host, r platform.ReportRequest) (platform.Report, error)
	Stop(ctx context.Context, host platform.Host, stops []platform.Stop) error
}

type upstreams interface {
	Send(ctx context.Context, host platform.Host, r platform.UpstreamRequest) (platform.UpstreamResponse, error)
	Status(ctx context.Context, host platform.Host) (platform.UpstreamStatus, error)
}

// session is a deployment and the clients of one entry host, which call it either
// in process or over HTTP.
type session struct {
	deployment *standin.Deployment
	timers     *timer.Manual
	base       *url.URL

	table     tables
	objects   objects
	hosts     hosts
	workers   workers
	upstreams upstreams
}

const entryHost = "entry-00"

func newSession(t *testing.T, overHTTP bool) *session {
	t.Helper()
	timers := timer.NewManual(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	d, err := standin.NewDeployment(standin.DeploymentConfig{
		Name: "tsukushi", ServiceTimeMin: 0, ServiceTimeMax: 1, HostLag: 5 * time.Second,
	}, timers)
	if err != nil {
		t.Fatal(err)
	}
	v := d.View(entryHost)
	s := &session{d, timers, nil, v.Table, v.Objects, v.Hosts, v.Workers, v.Upstreams}
	if overHTTP {
		s.serve(t)
	}
	return s
}

func (s *session) serve(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(listener.Addr().String())
	s.deployment.SetServerAddr(addr)
	server := standin.NewServer(s.deployment, listener, zap.NewNop())
	transport := &http.Transport{}
	client := &http.Client{Transport: transport}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		server.Close()
	})
	s.base = &url.URL{Scheme: "http", Host: addr.String()}
	s.table, s.objects = table.New(s.base, client, entryHost), object.New(s.base, client, entryHost)
	s.hosts = hostlist.New(s.base, client, entryHost)
	s.workers, s.upstreams = worker.New(s.base, client, entryHost), upstream.New(s.base, client, entryHost)
}

// TestSessions runs the scripts under testdata/session, both in process and over
// HTTP, and expects the same output.
func TestSessions(t *testing.T) {
	for name, overHTTP := range map[string]bool{"InProcess": false, "HTTP": true} {
		t.Run(name, func(t *testing.T) {
			datadriven.Walk(t, "testdata/session", func(t *testing.T, path string) {
				s := newSession(t, overHTTP)
				datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
					return s.runCommand(t, d)
				})
			})
		})
	}
}

func (s *session) runCommand(t *testing.T, d *datadriven.TestData) string {
	ctx := t.Context()
	switch d.Cmd {
	case "advance":
		s.timers.Advance(duration(t, arg(d, "by")))
		return ""
	case "fault":
		f, err := wire.Decode[wire.Fault]("fault", []byte(d.Input))
		if err == nil {
			err = s.deployment.SetFault(f)
		}
		return outcome("", err)
	case "commit":
		return s.commit(ctx, d)
	case "get":
		row, err := s.table.Get(ctx, arg(d, "key"))
		return outcome(formatRows(row), err)
	case "list":
		var after uint64
		var limit int
		d.MaybeScanArgs(t, "after", &after)
		d.MaybeScanArgs(t, "limit", &limit)
		rows, err := s.table.List(ctx, arg(d, "prefix"), after, limit)
		return outcome(formatRows(rows...), err)
	case "put":
		return outcome("", s.objects.Put(ctx, arg(d, "name"), []byte(d.Input)))
	case "object":
		content, err := s.objects.Get(ctx, arg(d, "name"))
		return outcome(string(content)+"\n", err)
	case "delete":
		return outcome("", s.objects.Delete(ctx, arg(d, "name")))
	case "leaving":
		return s.leaving(ctx)
	case "leave":
		s.deployment.SetLeaving(arg(d, "host"), true)
		return ""
	case "start", "report", "stop":
		return s.task(t, d)
	case "send":
		return s.send(ctx, d)
	case "submitted", "gang", "adopted", "asked", "told":
		return s.recordEvent(t, d)
	case "use":
		f := s.deployment.Audit.Findings()
		return fmt.Sprintf("packing %.3f, %.2f store writes a second\n", f.Packing, f.StoreWritesPerSecond)
	case "findings":
		return formatFindings(s.deployment.Audit.Findings())
	}
	t.Fatalf("unknown command %q", d.Cmd)
	return ""
}

// commit parses lines such as "check a 1", "put a text" and "delete a", and
// commits them.
func (s *session) commit(ctx context.Context, d *datadriven.TestData) string {
	c := platform.Commit{ID: arg(d, "id")}
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		word := strings.Fields(line)
		switch {
		case len(word) == 3 && word[0] == "check":
			var version uint64
			_, _ = fmt.Sscan(word[2], &version)
			c.Checks = append(c.Checks, platform.Check{Key: word[1], Version: version})
		case len(word) == 3 && word[0] == "put":
			c.Writes = append(c.Writes, platform.Write{Key: word[1], Value: []byte(word[2])})
		case len(word) == 2 && word[0] == "delete":
			c.Writes = append(c.Writes, platform.Write{Key: word[1], Delete: true})
		}
	}
	version, err := s.table.Commit(ctx, c)
	return outcome(fmt.Sprintf("version %d\n", version), err)
}

func (s *session) leaving(ctx context.Context) string {
	all, err := s.hosts.Hosts(ctx)
	names := []string{fmt.Sprintf("%d hosts", len(all))}
	for _, h := range all {
		if h.Leaving {
			names = append(names, h.Name)
		}
	}
	return outcome(strings.Join(names, " ")+"\n", err)
}

func (s *session) task(t *testing.T, d *datadriven.TestData) string {
	ctx, host := t.Context(), s.host(arg(d, "worker"))
	index, number, cores := 0, 1, 1
	d.MaybeScanArgs(t, "index", &index)
	d.MaybeScanArgs(t, "number", &number)
	d.MaybeScanArgs(t, "cores", &cores)
	attempt := platform.Attempt{Task: job.TaskID{Job: arg(d, "job"), Index: index}, Number: number}
	until := s.timers.Now().Add(duration(t, arg(d, "lease")))
	switch d.Cmd {
	case "start":
		errs, err := s.workers.Start(ctx, host, []platform.Start{{
			Attempt: attempt, Size: job.Size{MilliCores: int64(cores) * 1000},
			RunTime: duration(t, arg(d, "runs")), Until: until,
		}})
		if err != nil {
			return outcome("", err)
		}
		return outcome("", errs[0])
	case "stop":
		return outcome("", s.workers.Stop(ctx, host, []platform.Stop{{Attempt: attempt}}))
	}
	request := platform.ReportRequest{}
	if d.HasArg("lease") {
		request.Renewals = []platform.Renewal{{Attempt: attempt, Until: until}}
	}
	if d.HasArg("since") {
		request.Since = s.timers.Now().Add(-duration(t, arg(d, "since")))
	}
	report, err := s.workers.Report(ctx, host, request)
	lines := make([]string, 0, len(report.Tasks))
	for _, task := range report.Tasks {
		lines = append(lines, fmt.Sprintf("%s/%d/%d %s\n",
			task.Attempt.Task.Job, task.Attempt.Task.Index, task.Attempt.Number, task.State))
	}
	slices.Sort(lines)
	return outcome("boot "+report.BootID+"\n"+strings.Join(lines, ""), err)
}

func (s *session) host(name string) platform.Host {
	all, _ := s.deployment.Hosts.Hosts(context.Background())
	return all[slices.IndexFunc(all, func(h platform.Host) bool { return h.Name == name })]
}

func (s *session) send(ctx context.Context, d *datadriven.TestData) string {
	body := []byte(d.Input)
	response, err := s.upstreams.Send(ctx, s.host(arg(d, "upstream")), platform.UpstreamRequest{
		ID: arg(d, "id"), IdempotencyKey: arg(d, "key"), Idempotent: d.HasArg("idempotent"),
		Method: http.MethodPost, Path: "/deposits/run?guide=1", Body: body,
	})
	complete := standin.IsCompleteResponse(arg(d, "key"), body, response.Body)
	return outcome(fmt.Sprintf("%s status=%d whole=%t leaving=%t\n", response.ID, response.Status, complete, response.Leaving), err)
}

func (s *session) recordEvent(t *testing.T, d *datadriven.TestData) string {
	audit := s.deployment.Audit
	switch d.Cmd {
	case "submitted":
		audit.JobSubmitted(arg(d, "job"), s.timers.Now(), d.HasArg("urgent"))
	case "gang":
		var members int
		d.ScanArgs(t, "members", &members)
		audit.GangSubmitted(arg(d, "job"), members, duration(t, arg(d, "window")))
	case "adopted":
		var revision uint64
		d.ScanArgs(t, "revision", &revision)
		audit.SectionAdopted(arg(d, "host"), arg(d, "team"), revision)
	case "asked":
		audit.RequestSent(arg(d, "key"))
	case "told":
		audit.OutcomeReturned(arg(d, "key"), standin.Outcome(arg(d, "outcome")))
	}
	return ""
}

func arg(d *datadriven.TestData, name string) string {
	for _, a := range d.CmdArgs {
		if a.Key == name && len(a.Vals) == 1 {
			return a.Vals[0]
		}
	}
	return ""
}

func duration(t *testing.T, s string) time.Duration {
	t.Helper()
	if s == "" {
		return 0
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// outcome formats a result or an error. For an unknown outcome it prints only the
// kind, since the message differs between in-process and HTTP calls.
func outcome(ok string, err error) string {
	var e *platform.Error
	switch {
	case err == nil && ok == "":
		return "ok\n"
	case err == nil:
		return ok
	case errors.As(err, &e) && e.Kind != platform.KindUnknown:
		return err.Error() + "\n"
	case e != nil:
		return string(e.Kind) + "\n"
	default:
		return "no platform error: " + err.Error() + "\n"
	}
}

func formatRows(rows ...platform.Row) string {
	var out strings.Builder
	for _, r := range rows {
		fmt.Fprintf(&out, "%s=%s version=%d by=%s\n", r.Key, r.Value, r.Version, r.WriteID)
	}
	if out.Len() == 0 {
		return "no rows\n"
	}
	return out.String()
}

func formatFindings(f standin.Findings) string {
	return fmt.Sprintf("asked %d answered %d not-run %d unknown %d\n"+
		"lost %d doubled %d refused-but-ran %d\noverfull %d upstreams %d two-places %d split %d reverted %d\n"+
		"never-started %d wait p50 %v p99 %v urgent p99 %v\n",
		f.Accepted, f.Answered, f.NotRun, f.Unknown, f.Lost, f.Doubled, f.RefusedButRan,
		f.OverfullHosts, f.OverfullUpstreams, f.TasksInTwoPlaces, f.SplitGangs, f.RevertedSections,
		f.NeverStarted, f.StartWaitP50.Round(time.Millisecond), f.StartWaitP99.Round(time.Millisecond),
		f.UrgentStartWaitP99.Round(time.Millisecond))
}
