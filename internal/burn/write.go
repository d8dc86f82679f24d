package burn

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Text writes the report as a text table.
func (r Report) Text(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "TEAM\tOBJECTIVE\tOF\tTARGET\tEVENTS\tBUDGET LEFT\tBURN 5M\tBURN 1H\tCOUNTED FOR")
	for _, b := range r.Burns {
		o := b.Objective
		fmt.Fprintf(t, "%s\t%s\t%s %s\t%s\t%d\t%s\t%.1f\t%.1f\t%s of %s\n", b.Team, o.Name, o.Of, kindText(b), percent(o.Target),
			b.Window.Good+b.Window.Bad, percent(b.BudgetLeft()), b.Rate(b.Short), b.Rate(b.Long),
			b.Since.Round(time.Second), o.Window)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w, r.hosts())
	return err
}

// hosts describes which entry hosts the report covers.
func (r Report) hosts() string {
	text := fmt.Sprintf("counted by %d entry hosts", len(r.Reached))
	if len(r.Unreached) > 0 {
		text += "; not reached: " + strings.Join(r.Unreached, ", ")
	}
	return text
}

func kindText(b Burn) string {
	if b.Objective.Threshold > 0 {
		return fmt.Sprintf("%s %v", b.Objective.Kind, b.Objective.Threshold)
	}
	return string(b.Objective.Kind)
}

func percent(share float64) string { return fmt.Sprintf("%.4g%%", 100*share) }

type reportWire struct {
	At         string
	Reached    []string
	Unreached  []string
	Objectives []burnWire
}

type burnWire struct {
	Team       string
	Name       string
	Of         string
	Kind       string
	Target     float64
	Threshold  string `json:",omitempty"`
	Window     string
	CountedFor string
	Good       uint64
	Bad        uint64
	BudgetLeft float64
	BurnShort  float64
	BurnLong   float64
}

// JSON writes the report as JSON.
func (r Report) JSON(w io.Writer) error {
	out := reportWire{
		At: r.At.UTC().Format(time.RFC3339), Reached: r.Reached, Unreached: append([]string{}, r.Unreached...),
		Objectives: []burnWire{},
	}
	for _, b := range r.Burns {
		o := b.Objective
		wire := burnWire{
			Team: b.Team, Name: o.Name, Of: o.Of, Kind: string(o.Kind), Target: o.Target, Window: o.Window.String(),
			CountedFor: b.Since.Round(time.Second).String(), Good: b.Window.Good, Bad: b.Window.Bad,
			BudgetLeft: b.BudgetLeft(), BurnShort: b.Rate(b.Short), BurnLong: b.Rate(b.Long),
		}
		if o.Threshold > 0 {
			wire.Threshold = o.Threshold.String()
		}
		out.Objectives = append(out.Objectives, wire)
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(out)
}

const (
	chartWidth  = 600
	chartHeight = 90
)

// HTML writes the report as a self-contained page.
func (r Report) HTML(w io.Writer) error {
	return page.Execute(w, struct {
		Report
		Hosts string
		Time  string
	}{r, r.hosts(), r.At.UTC().Format("2006-01-02 15:04:05 UTC")})
}

// bar is the burn rate of one minute in a chart.
type bar struct {
	X, Y, Width, Height float64
	Class, Title        string
}

// bars returns the bars of a chart of the burn rate by minute. The chart reaches
// to a rate of 10; higher rates are cut off there.
func bars(b Burn) []bar {
	const top = 10
	width := float64(chartWidth) / float64(len(b.Minutes))
	var out []bar
	for i, c := range b.Minutes {
		rate := b.Rate(c)
		height := max(min(rate, top)/top*chartHeight, 1)
		class := "idle"
		switch {
		case rate > 1:
			class = "over"
		case c.Good+c.Bad > 0:
			class = "fine"
		}
		out = append(out, bar{
			X: float64(i) * width, Y: chartHeight - height, Width: width - 1, Height: height, Class: class,
			Title: fmt.Sprintf("%d min ago: %d good, %d bad, burn %.1f", len(b.Minutes)-1-i, c.Good, c.Bad, rate),
		})
	}
	return out
}

var page = template.Must(template.New("burn").Funcs(template.FuncMap{
	"bars": bars, "kind": kindText, "percent": percent,
	"rate":   func(b Burn, c Counts) string { return fmt.Sprintf("%.1f", b.Rate(c)) },
	"events": func(c Counts) uint64 { return c.Good + c.Bad },
	"since":  func(d time.Duration) string { return d.Round(time.Second).String() },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title><style>
body{font:14px/1.45 sans-serif;margin:2em auto;max-width:54em;color:#222;padding:0 1em}
h2{font-size:1.1em;margin:1.6em 0 .2em}p{margin:.2em 0}svg{border-bottom:1px solid #888;margin-top:.5em;max-width:100%}
.over{fill:#c0392b}.fine{fill:#2e8b57}.idle{fill:#ccc}.limit{stroke:#888;stroke-dasharray:4 3}
.missed{color:#c0392b;font-weight:bold}.axis{font-size:10px;fill:#666}
</style></head><body><h1>Service-level burn</h1><p>{{.Time}}; {{.Hosts}}.</p>
{{range .Burns}}<h2>{{.Team}}: {{.Objective.Name}}</h2>
<p>{{.Objective.Of}}, {{kind .}}, target {{percent .Objective.Target}} over {{.Objective.Window}}</p>
<p{{if lt .BudgetLeft 0.0}} class="missed"{{end}}>Error budget left: {{percent .BudgetLeft}} of {{events .Window}} events counted in {{since .Since}}.
Burn rate: {{rate . .Short}} over 5 minutes, {{rate . .Long}} over 1 hour.</p>
<svg width="600" height="104" viewBox="0 0 600 104" role="img" aria-label="burn rate by minute over the last hour">
{{range bars .}}<rect class="{{.Class}}" x="{{.X}}" y="{{.Y}}" width="{{.Width}}" height="{{.Height}}"><title>{{.Title}}</title></rect>
{{end}}<line class="limit" x1="0" y1="81" x2="600" y2="81"/><text class="axis" x="2" y="78">burn rate 1</text>
<text class="axis" x="2" y="9">10 or more</text><text class="axis" x="2" y="102">1 hour ago</text><text class="axis" x="598" y="102" text-anchor="end">now</text></svg>
{{else}}<p>The plan has no objectives.</p>{{end}}
</body></html>
`))
