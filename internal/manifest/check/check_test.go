package check_test

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/manifest/check"
)

// TestFindings checks manifests from data files. "in-force" sets the version that the checks
// after it compare with, and "check" prints the findings. It guards against faults that are
// not found, against findings on a manifest that is in order, and against another order of the
// findings from run to run.
func TestFindings(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var inForce *manifest.Manifest
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			m := parseManifest(t, d)
			switch d.Cmd {
			case "in-force":
				inForce = m
				return ""
			case "check":
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			findings := check.Manifest(m, inForce)
			for range 5 {
				if again := check.Manifest(m, inForce); !reflect.DeepEqual(again, findings) {
					t.Errorf("%s: another run gives\n%s", d.Pos, format(again))
				}
			}
			return format(findings)
		})
	})
}

func format(findings []check.Finding) string {
	var out strings.Builder
	for _, f := range findings {
		fmt.Fprintf(&out, "%s %s (%s %s)\n  %s\n", f.Severity, f.Kind, f.Subject.Type, f.Subject.Name, f.Text)
	}
	return out.String()
}

// parseManifest reads a manifest of the lines "queue NAME", "service NAME", "account NAME" and
// "limits" with arguments, as in "queue a target=1.2s". What is not given has the value of
// defaultQueue, defaultAccount or defaultLimits.
func parseManifest(t *testing.T, d *datadriven.TestData) *manifest.Manifest {
	t.Helper()
	m := &manifest.Manifest{Version: 7, Limits: defaultLimits}
	d.MaybeScanArgs(t, "version", &m.Version)
	m.HasAccounts = d.HasArg("accounts")
	for line := range strings.Lines(d.Input) {
		cmd, args, err := datadriven.ParseLine(line)
		if err != nil {
			d.Fatalf(t, "%q: %v", line, err)
		}
		name := ""
		if len(args) > 0 && len(args[0].Vals) == 0 {
			name, args = args[0].Key, args[1:]
		}
		name = strings.Trim(name, `"`)
		switch cmd {
		case "queue":
			m.Queues = append(m.Queues, parseQueue(t, d, name, args))
		case "service":
			m.Services = append(m.Services, manifest.Service{Name: name, Standby: len(args) > 0})
		case "account":
			m.HasAccounts = true
			m.Accounts = append(m.Accounts, parseAccount(t, d, name, args))
		case "limits":
			m.Limits = manifest.Limits{}
			for _, a := range args {
				setLimit(t, d, &m.Limits, a)
			}
		default:
			d.Fatalf(t, "unknown entry %q", cmd)
		}
	}
	return m
}

var (
	defaultQueue = manifest.Queue{
		Host: "h", Service: "s", MaxAttempts: 4, SlackFactor: 2.2, TargetLatency: 1200 * time.Millisecond, Timeout: 3 * time.Second,
	}
	defaultAccount = manifest.Account{Terms: manifest.Terms{Weight: 10, Cap: job.Size{MilliCores: 64000, MemoryMB: 65536}}}
	defaultLimits  = manifest.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
)

func parseQueue(t *testing.T, d *datadriven.TestData, name string, args []datadriven.CmdArg) manifest.Queue {
	t.Helper()
	q := defaultQueue
	q.Name, q.Prefix = name, "/"+name+"/"
	for _, a := range args {
		switch a.Key {
		case "host":
			q.Host = text(a)
		case "prefix":
			q.Prefix = text(a)
		case "service":
			q.Service = text(a)
		case "priority":
			q.Priority = whole(t, d, a)
		case "attempts":
			q.MaxAttempts = whole(t, d, a)
		case "slack":
			q.SlackFactor = number(t, d, a)
		case "target":
			q.TargetLatency = duration(t, d, a.Vals[0])
		case "timeout":
			q.Timeout = duration(t, d, a.Vals[0])
		case "advice": // (FIXED,PER WORKER,VALIDITY)
			q.Advice = manifest.Advice{Fixed: duration(t, d, a.Vals[0]), PerWorker: duration(t, d, a.Vals[1]), ValidFor: duration(t, d, a.Vals[2])}
		case "public":
			q.Public = true
		default:
			d.Fatalf(t, "unknown argument %s", a.Key)
		}
	}
	return q
}

func parseAccount(t *testing.T, d *datadriven.TestData, name string, args []datadriven.CmdArg) manifest.Account {
	t.Helper()
	account := defaultAccount
	account.Name = name
	for _, a := range args {
		switch a.Key {
		case "weight":
			account.Weight = number(t, d, a)
		case "cap": // (MILLICORES,MEGABYTES,ACCELERATORS)
			var amounts [3]int64
			for i, v := range a.Vals {
				n, err := strconv.ParseInt(v, 10, 64)
				if err != nil {
					d.Fatalf(t, "%v", err)
				}
				amounts[i] = n
			}
			account.Cap = job.Size{MilliCores: amounts[0], MemoryMB: amounts[1], Accelerators: amounts[2]}
		case "keys":
			for _, key := range a.Vals {
				account.KeyHashes = append(account.KeyHashes, manifest.HashKey(key))
			}
		default:
			d.Fatalf(t, "unknown argument %s", a.Key)
		}
	}
	return account
}

func setLimit(t *testing.T, d *datadriven.TestData, l *manifest.Limits, a datadriven.CmdArg) {
	t.Helper()
	switch a.Key {
	case "header":
		l.MaxHeaderBytes = whole(t, d, a)
	case "body":
		l.MaxBodyBytes = int64(whole(t, d, a))
	case "header-timeout":
		l.HeaderTimeout = duration(t, d, a.Vals[0])
	case "idle-timeout":
		l.IdleTimeout = duration(t, d, a.Vals[0])
	default:
		d.Fatalf(t, "unknown argument %s", a.Key)
	}
}

// text returns an argument; NONE stands for an empty one.
func text(a datadriven.CmdArg) string {
	if a.Vals[0] == "NONE" {
		return ""
	}
	return a.Vals[0]
}

func whole(t *testing.T, d *datadriven.TestData, a datadriven.CmdArg) int {
	t.Helper()
	n, err := strconv.Atoi(a.Vals[0])
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return n
}

func number(t *testing.T, d *datadriven.TestData, a datadriven.CmdArg) float64 {
	t.Helper()
	f, err := strconv.ParseFloat(a.Vals[0], 64)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return f
}

func duration(t *testing.T, d *datadriven.TestData, s string) time.Duration {
	t.Helper()
	v, err := time.ParseDuration(s)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return v
}
