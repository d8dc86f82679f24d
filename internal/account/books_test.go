package account_test

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cicadabarrow.example/cicadabarrow/internal/account"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// TestScripts runs the scripts of testdata/script. Each script is a session of the books
// of one owner, in virtual time.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/script", func(t *testing.T, path string) {
		s := &script{t: t, now: time.Unix(1_700_000_000, 0), books: account.NewBooks(), members: make(map[string]*account.Member)}
		s.begin = s.now
		datadriven.RunTest(t, path, s.command)
	})
}

type script struct {
	t       *testing.T
	begin   time.Time
	now     time.Time
	books   *account.Books
	members map[string]*account.Member
}

func (s *script) command(t *testing.T, d *datadriven.TestData) string {
	s.t = t
	name := ""
	if len(d.CmdArgs) > 0 {
		name = d.CmdArgs[0].Key
	}
	member, size := s.members[name], s.size(d)
	switch d.Cmd {
	case "manifest":
		var accounts []manifest.Account
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			if line != "" {
				accounts = append(accounts, manifest.Account{Terms: s.terms(line)})
			}
		}
		s.books.SetTerms(accounts)
	case "join":
		s.members[name] = s.books.Join(s.terms(d.Input))
	case "leave":
		s.books.Leave(member)
	case "plan":
		member.Plan(size)
	case "sent":
		member.Sent(size)
	case "add":
		member.Add(size)
	case "remove":
		member.Remove(size)
	case "room":
		return fmt.Sprintf("room=%s fits=%v may_send=%v\n", count(member.Room(size, job.Size{})), member.Fits(size), member.MaySend(size))
	case "arrive":
		var out strings.Builder
		for range s.number(d, "jobs", 1) {
			fmt.Fprintf(&out, "%v ", member.Arrive(s.now).Sub(s.begin).Round(time.Millisecond))
		}
		return strings.TrimSpace(out.String()) + "\n"
	case "advance":
		lasts, err := time.ParseDuration(name)
		if err != nil {
			t.Fatal(err)
		}
		s.now = s.now.Add(lasts)
	case "excess":
		var out strings.Builder
		for _, e := range s.books.InExcess(s.now, s.number(d, "limit", 10)) {
			fmt.Fprintf(&out, "%s for %v\n", e.Name, e.For.Round(time.Millisecond))
		}
		return out.String()
	case "shares":
		waiting := make(map[string]bool)
		for _, a := range d.CmdArgs {
			if a.Key == "waiting" {
				for _, name := range a.Vals {
					waiting[strings.TrimPrefix(name, "none")] = true
				}
			}
		}
		changed := s.books.UpdateShares(s.now, d.HasArg("full"), size, waiting)
		slices.Sort(changed)
		return fmt.Sprintln(changed)
	case "views":
		var out strings.Builder
		for _, v := range s.books.Views(s.now) {
			fmt.Fprintf(&out, "%s weight=%v cap=%v use=%v jobs=%d removed=%v excess_for=%v over_share=%v\n",
				v.Name, v.Weight, v.Cap, v.Use, v.Jobs, v.Removed, v.ExcessFor.Round(time.Millisecond), v.OverShare)
		}
		return out.String()
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return ""
}

// terms parses "NAME weight=1 cores=2 mb=3".
func (s *script) terms(line string) manifest.Terms {
	words := strings.Fields(line)
	if len(words) == 0 {
		return manifest.Terms{}
	}
	out := manifest.Terms{Name: words[0]}
	for _, word := range words[1:] {
		key, value, _ := strings.Cut(word, "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			s.t.Fatal(err)
		}
		switch key {
		case "weight":
			out.Weight = v
		case "cores":
			out.Cap.MilliCores = int64(v * 1000)
		case "mb":
			out.Cap.MemoryMB = int64(v)
		case "accelerators":
			out.Cap.Accelerators = int64(v)
		default:
			s.t.Fatalf("unknown word %q", key)
		}
	}
	return out
}

func (s *script) size(d *datadriven.TestData) job.Size {
	return job.Size{
		MilliCores: int64(s.number(d, "cores", 0)) * 1000, MemoryMB: int64(s.number(d, "mb", 0)),
		Accelerators: int64(s.number(d, "accelerators", 0)),
	}
}

func (s *script) number(d *datadriven.TestData, key string, missing int) int {
	for _, a := range d.CmdArgs {
		if a.Key == key {
			n, err := strconv.Atoi(a.Vals[0])
			if err != nil {
				s.t.Fatal(err)
			}
			return n
		}
	}
	return missing
}

func count(n int64) string {
	if n == math.MaxInt32 {
		return "any"
	}
	return fmt.Sprint(n)
}

// A job that can never be started must be refused, and no other.
func TestJobsThatNeverFitAreRefused(t *testing.T) {
	limit := job.Size{MilliCores: 4000, MemoryMB: 1000}
	for _, c := range []struct {
		name string
		cap  job.Size
		step workload.Step
		fits bool
	}{
		{"a task as large as the cap", limit, workload.Step{Tasks: 100, Size: limit}, true},
		{"a task with too many cores", limit, workload.Step{Tasks: 1, Size: job.Size{MilliCores: 4001}}, false},
		{"a task with too much memory", limit, workload.Step{Tasks: 1, Size: job.Size{MemoryMB: 1001}}, false},
		{"a resource without a limit", limit, workload.Step{Tasks: 1, Size: job.Size{Accelerators: 100}}, true},
		{"no cap", job.Size{}, workload.Step{Tasks: 1, Size: job.Size{MilliCores: 1 << 40}}, true},
		{"a gang that fits", limit, workload.Step{Tasks: 4, Gang: true, Size: job.Size{MilliCores: 1000}}, true},
		{"a gang that does not", limit, workload.Step{Tasks: 5, Gang: true, Size: job.Size{MilliCores: 1000}}, false},
		{"the largest gang", limit, workload.Step{Tasks: workload.MaxTasks, Gang: true, Size: job.Size{MilliCores: 1 << 40}}, false},
		{"a best-effort task that is too large", limit, workload.Step{Tasks: 1, BestEffort: true, Size: job.Size{MilliCores: 4001}}, false},
	} {
		j := &workload.Job{Steps: []workload.Step{{Tasks: 1}, c.step}}
		if err := account.CanFit(manifest.Terms{Name: "a", Cap: c.cap}, j); (err == nil) != c.fits {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	if err := account.CanFit(manifest.Terms{}, &workload.Job{Steps: []workload.Step{{Tasks: 1, Size: limit}}}); err != nil {
		t.Errorf("a job without an account: %v", err)
	}
}

// The virtual arrivals of an account must stay behind its rate by no more than the
// burst allowance, whatever its weight.
func TestVirtualArrivalsFollowTheRate(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, weight := range []float64{0.2, 1, 7.5, 29, 1000, math.Inf(1)} {
		books := account.NewBooks()
		m := books.Join(manifest.Terms{Name: "a", Weight: weight})
		const jobs = 300
		last := now
		for range jobs {
			next := m.Arrive(now)
			if next.Before(last) {
				t.Fatalf("weight %v: virtual arrival %v after %v", weight, next, last)
			}
			last = next
		}
		want := max(float64(jobs-1)/weight-1, 0)
		if got := last.Sub(now).Seconds(); math.Abs(got-want) > 0.001 {
			t.Errorf("weight %v: job %d arrives after %vs, want %vs", weight, jobs, got, want)
		}
	}
	for _, weight := range []float64{0, -1, math.NaN()} {
		m := account.NewBooks().Join(manifest.Terms{Name: "a", Weight: weight})
		m.Arrive(now)
		if wait := m.Arrive(now).Sub(now); wait < time.Minute || wait > time.Hour {
			t.Errorf("weight %v: the second job is in excess for %v", weight, wait)
		}
	}
}
