// Package logtrace merges the log lines of several hosts that concern one job.
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
	"unicode"
	"unicode/utf8"
)

const (
	fieldTime    = "time"
	fieldMessage = "msg"
	fieldLogger  = "logger"
	fieldLevel   = "level"
	fieldWorker  = "Worker"
	fieldJob     = "Job"

	// timeFormat is the format of the time field of a log line.
	timeFormat = "2006-01-02T15:04:05.000Z0700"
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
)

// commonMessages are the messages about the ownership of the cell and about
// dropped log lines. They are part of the trace of every job.
var commonMessages = []string{
	"becoming the owner", "took over", "no longer the owner", "released the cell",
	"the owner is suspected and its row cannot be read", "log lines were left out",
}

// Trace collects the log lines that may be relevant to one job. Lines selects
// those that are, once all logs are read and the workers of the job are known.
type Trace struct {
	job     string
	entries []entry
	// workers are the workers that occur in log lines with the ID of the job.
	workers map[string]bool
}

// entry is one line of a log.
type entry struct {
	at     time.Time
	fields map[string]any
	// host is the last word before the JSON object of the line; empty if there
	// is none.
	host string
	// mentionsJob is set if the line contains the ID of the job.
	mentionsJob bool
}

// New returns an empty trace of the job with the given ID.
func New(job string) *Trace { return &Trace{job: job, workers: make(map[string]bool)} }

// Read adds the log of one host, or of several hosts if each line is prefixed
// with the name of its host. Lines without a JSON object are ignored.
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
	e.mentionsJob = mentions(line, t.job)
	worker := stringValue(e.fields[fieldWorker])
	if e.mentionsJob && worker != "" {
		t.workers[worker] = true
	}
	if e.mentionsJob || worker != "" || slices.Contains(commonMessages, stringValue(e.fields[fieldMessage])) {
		t.entries = append(t.entries, e)
	}
}

// mentions reports whether a line contains an ID that is not part of a longer one.
func mentions(line, id string) bool {
	if id == "" {
		return false
	}
	inID := func(r rune) bool { return unicode.IsLetter(r) || unicode.IsDigit(r) || r == '-' || r == '_' }
	for rest := line; ; {
		before, after, found := strings.Cut(rest, id)
		if !found {
			return false
		}
		last, _ := utf8.DecodeLastRuneInString(before)
		next, _ := utf8.DecodeRuneInString(after)
		if !inID(last) && !inID(next) {
			return true
		}
		rest = after
	}
}

// Lines returns the lines about the job, its workers and the owner of the cell,
// oldest first. It returns none if no line mentions the job.
func (t *Trace) Lines() []string {
	var relevant []entry
	for _, e := range t.entries {
		if t.relevant(e) {
			relevant = append(relevant, e)
		}
	}
	if !slices.ContainsFunc(relevant, func(e entry) bool { return e.mentionsJob }) {
		return nil
	}
	slices.SortStableFunc(relevant, func(a, b entry) int { return a.at.Compare(b.at) })
	out := make([]string, len(relevant))
	for i, e := range relevant {
		out[i] = e.String()
	}
	return out
}

// relevant reports whether a line belongs to the trace of the job. Lines about
// other jobs, or about workers that the job did not use, are excluded.
func (t *Trace) relevant(e entry) bool {
	if e.mentionsJob {
		return true
	}
	if stringValue(e.fields[fieldJob]) != "" {
		return false // the line is about another job
	}
	worker := stringValue(e.fields[fieldWorker])
	return worker == "" || t.workers[worker]
}

// String formats the line for a human reader: the time, the level, the host,
// the logger, the message and the other fields sorted by name. The mark "~"
// stands before lines that do not mention the job.
func (e entry) String() string {
	var b strings.Builder
	b.WriteString(e.at.Format("15:04:05.000"))
	mark := " "
	if !e.mentionsJob {
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
