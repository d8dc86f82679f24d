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
	if err := r.writeAccounts(to); err != nil {
		return err
	}
	_, err := fmt.Fprintf(to, "Packing %.1f%%, starts %d, stops %d, questions for advice %d, wasted core-seconds %.0f\n",
		percent*r.Packing, r.Starts, r.Stops, r.AdviceRequests, r.WastedCoreSeconds)
	if err != nil {
		return fault.New("write", KindUnwritten, "%w", err)
	}
	return nil
}

// writeAccounts writes what the callers of each account got, if there are accounts.
func (r *Result) writeAccounts(to io.Writer) error {
	if len(r.Accounts) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	lines := []string{"Account\tWeight\tJobs\tRefused\tInTime\tLate\tMissed\tWait p50\tWait p99\tTime p50\tTime p99\tCore-s\t"}
	for i := range r.Accounts {
		a := &r.Accounts[i]
		lines = append(lines, fmt.Sprintf("%s\t%g\t%d\t%d\t%.1f%%\t%d\t%d\t%s\t%s\t%s\t%s\t%.0f\t", a.Name, a.Weight, a.Jobs, a.Refused, percent*a.InTimeShare(),
			a.Late, a.Missed, formatQuantile(a.Waits, median), formatQuantile(a.Waits, p99), formatQuantile(a.CompletionTimes, median), formatQuantile(a.CompletionTimes, p99), a.CoreSeconds))
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(table, line); err != nil {
			return fault.New("write", KindUnwritten, "%w", err)
		}
	}
	if err := table.Flush(); err != nil {
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
	Accounts          []accountResultWire `json:",omitempty"`
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

type accountResultWire struct {
	queueResultWire
	Weight      float64
	Refused     int
	CoreSeconds float64
}

func (q *QueueResult) wire() queueResultWire {
	return queueResultWire{
		Name: q.Name, Jobs: q.Jobs, InTime: q.InTime, Late: q.Late, Missed: q.Missed,
		WaitMedian: formatQuantile(q.Waits, median), WaitP99: formatQuantile(q.Waits, p99),
		TimeMedian: formatQuantile(q.CompletionTimes, median), TimeP99: formatQuantile(q.CompletionTimes, p99), InTimeShare: q.InTimeShare(),
	}
}

// WriteJSON writes a result as indented JSON.
func (r *Result) WriteJSON(to io.Writer) error {
	w := resultWire{
		Packing: r.Packing, Starts: r.Starts, Stops: r.Stops, Questions: r.AdviceRequests, WastedCoreSeconds: r.WastedCoreSeconds,
	}
	for i := range r.Queues {
		w.Queues = append(w.Queues, r.Queues[i].wire())
	}
	for i := range r.Accounts {
		a := &r.Accounts[i]
		w.Accounts = append(w.Accounts, accountResultWire{a.wire(), a.Weight, a.Refused, a.CoreSeconds})
	}
	encoder := json.NewEncoder(to)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(w); err != nil {
		return fault.New("write", KindUnwritten, "%w", err)
	}
	return nil
}
