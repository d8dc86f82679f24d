package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// KindUnwritten means that a result could not be written.
const KindUnwritten Kind = "unwritten"

const percent = 100

// WriteText writes a result as a text table.
func (r *Result) WriteText(to io.Writer) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	lines := []string{"Queue\tJobs\tInTime\tLate\tMissed\tWait p50\tWait p99\tTime p50\tTime p99\t"}
	for i := range r.Queues {
		q := &r.Queues[i]
		lines = append(lines, fmt.Sprintf("%s\t%d\t%.1f%%\t%d\t%d\t%s\t%s\t%s\t%s\t", q.Name, q.Jobs, percent*q.InTimeShare(),
			q.Late, q.Missed, formatQuantile(q.Waits, median), formatQuantile(q.Waits, p99), formatQuantile(q.CompletionTimes, median), formatQuantile(q.CompletionTimes, p99)))
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(table, line); err != nil {
			return fault.New("write", KindUnwritten, "%w", err)
		}
	}
	if err := table.Flush(); err != nil {
		return fault.New("write", KindUnwritten, "%w", err)
	}
	_, err := fmt.Fprintf(to, "Packing %.1f%%, starts %d, stops %d, questions for advice %d, wasted core-seconds %.0f\n",
		percent*r.Packing, r.Starts, r.Stops, r.AdviceRequests, r.WastedCoreSeconds)
	if err != nil {
		return fault.New("write", KindUnwritten, "%w", err)
	}
	return nil
}

const (
	median = 0.5
	p99    = 0.99
)

func formatQuantile(sorted []time.Duration, part float64) string {
	return Quantile(sorted, part).Round(time.Millisecond).String()
}

type resultWire struct {
	Queues            []queueResultWire
	Packing           float64
	Starts            int
	Stops             int
	Questions         int
	WastedCoreSeconds float64
}

type queueResultWire struct {
	Name        string
	Jobs        int
	InTime      int
	Late        int
	Missed      int
	WaitMedian  string
	WaitP99     string
	TimeMedian  string
	TimeP99     string
	InTimeShare float64
}

// WriteJSON writes a result as indented JSON.
func (r *Result) WriteJSON(to io.Writer) error {
	w := resultWire{
		Packing: r.Packing, Starts: r.Starts, Stops: r.Stops, Questions: r.AdviceRequests, WastedCoreSeconds: r.WastedCoreSeconds,
	}
	for i := range r.Queues {
		q := &r.Queues[i]
		w.Queues = append(w.Queues, queueResultWire{
			Name: q.Name, Jobs: q.Jobs, InTime: q.InTime, Late: q.Late, Missed: q.Missed,
			WaitMedian: formatQuantile(q.Waits, median), WaitP99: formatQuantile(q.Waits, p99),
			TimeMedian: formatQuantile(q.CompletionTimes, median), TimeP99: formatQuantile(q.CompletionTimes, p99), InTimeShare: q.InTimeShare(),
		})
	}
	encoder := json.NewEncoder(to)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(w); err != nil {
		return fault.New("write", KindUnwritten, "%w", err)
	}
	return nil
}
