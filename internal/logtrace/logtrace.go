// Package logtrace gathers what the logs of several hosts say of one job.
package logtrace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	fieldTime    = "time"
	fieldMessage = "msg"
	fieldLogger  = "logger"
	fieldLevel   = "level"
	fieldWorker  = "Worker"
	fieldJob     = "Job"

	// timeFormat is how the log writes a time.
	timeFormat = "2006-01-02T15:04:05.000Z0700"
	// maxLineBytes bounds a line of a log.
	maxLineBytes = 1 << 20
)

// ownerMessages are about who owns the cell. They are shown with every job.
var ownerMessages = []string{
	"becoming the owner", "took over", "no longer the owner", "released the cell",
	"the owner is in doubt and its row cannot be read", "log lines were left out",
}

// Trace holds the lines that may matter for one job.
type Trace struct {
	job     string
	entries []entry
	// workers are those that the job's lines name.
	workers map[string]bool
}

// entry is one line of a log.
type entry struct {
	at     time.Time
	fields map[string]any
	// host is what stands before the line, if anything.
	host string
	// namesJob is set for a line that names the job.
	namesJob bool
}

// New returns an empty trace of a job.
func New(job string) *Trace { return &Trace{job: job, workers: make(map[string]bool)} }

// Read takes in the log of one host, or of several whose names stand before
// their lines. What is not a JSON object is passed over.
func (t *Trace) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		t.readLine(scanner.Text())
	}
	return scanner.Err()
}

func (t *Trace) readLine(line string) {
	prefix, object, found := strings.Cut(line, "{")
	if !found {
		return
	}
	e := entry{host: lastWord(prefix)}
	if json.Unmarshal([]byte("{"+object), &e.fields) != nil {
		return
	}
	at, err := time.Parse(timeFormat, stringValue(e.fields[fieldTime]))
	if err != nil {
		return
	}
	e.at = at
	e.namesJob = strings.Contains(line, t.job)
	worker := stringValue(e.fields[fieldWorker])
	if e.namesJob && worker != "" {
		t.workers[worker] = true
	}
	if e.namesJob || worker != "" || slices.Contains(ownerMessages, stringValue(e.fields[fieldMessage])) {
		t.entries = append(t.entries, e)
	}
}

// Lines returns the lines about the job, about its workers and about the owner,
// oldest first. Without a line about the job it returns none.
func (t *Trace) Lines() []string {
	var relevant []entry
	for _, e := range t.entries {
		if t.relevant(e) {
			relevant = append(relevant, e)
		}
	}
	if !slices.ContainsFunc(relevant, func(e entry) bool { return e.namesJob }) {
		return nil
	}
	slices.SortStableFunc(relevant, func(a, b entry) int { return a.at.Compare(b.at) })
	out := make([]string, len(relevant))
	for i, e := range relevant {
		out[i] = e.String()
	}
	return out
}

// relevant reports whether a line helps to explain what became of the job.
func (t *Trace) relevant(e entry) bool {
	if e.namesJob {
		return true
	}
	if stringValue(e.fields[fieldJob]) != "" {
		return false // another job's
	}
	worker := stringValue(e.fields[fieldWorker])
	return worker == "" || t.workers[worker]
}

// String returns the line for people: the time, the host, the message and the
// fields in their order.
func (e entry) String() string {
	var b strings.Builder
	b.WriteString(e.at.Format("15:04:05.000"))
	mark := " "
	if !e.namesJob {
		mark = "~"
	}
	fmt.Fprintf(&b, " %s %-5s", mark, stringValue(e.fields[fieldLevel]))
	if e.host != "" {
		b.WriteString(" " + e.host)
	}
	fmt.Fprintf(&b, " %s: %s", stringValue(e.fields[fieldLogger]), stringValue(e.fields[fieldMessage]))
	for _, key := range slices.Sorted(maps.Keys(e.fields)) {
		switch key {
		case fieldTime, fieldMessage, fieldLogger, fieldLevel, fieldJob:
		default:
			fmt.Fprintf(&b, " %s=%v", key, e.fields[key])
		}
	}
	return b.String()
}

func stringValue(v any) string {
	s, _ := v.(string)
	return s
}

func lastWord(s string) string {
	words := strings.Fields(s)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}
