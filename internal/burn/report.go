package burn

import (
	"cmp"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/plan"
)

// HostCounts holds what one entry host has counted.
type HostCounts struct {
	Host       string
	Objectives []ObjectiveCounts
}

// Burn holds the counts of one objective, summed over all hosts that were
// reached.
type Burn struct {
	Team      string
	Objective plan.Objective
	Window    Counts
	Short     Counts
	Long      Counts
	// Since is the longest time for which any host has counted.
	Since   time.Duration
	Minutes []Counts
}

// Report holds the counts of all objectives at one time.
type Report struct {
	At time.Time
	// Reached and Unreached name the entry hosts that did and did not reply.
	Reached   []string
	Unreached []string
	Burns     []Burn
}

// Rate returns the burn rate of the counted events. A rate of 1 spends the whole
// error budget in exactly the objective's window. Without events it is 0.
func (b Burn) Rate(c Counts) float64 {
	total := c.Good + c.Bad
	if total == 0 {
		return 0
	}
	return float64(c.Bad) / float64(total) / (1 - b.Objective.Target)
}

// BudgetLeft returns the remaining share of the error budget. It is negative when
// the objective is missed.
func (b Burn) BudgetLeft() float64 { return 1 - b.Rate(b.Window) }

// Merge sums the counts of the hosts. An objective without events has zero
// counts.
func Merge(document plan.Document, hosts []HostCounts, unreached []string, at time.Time) Report {
	r := Report{At: at, Unreached: slices.Sorted(slices.Values(unreached))}
	objectives := make(map[key][]ObjectiveCounts)
	for _, h := range hosts {
		r.Reached = append(r.Reached, h.Host)
		for _, l := range h.Objectives {
			k := key{l.Team, l.Name}
			objectives[k] = append(objectives[k], l)
		}
	}
	slices.Sort(r.Reached)
	for _, team := range document.Teams() {
		for _, o := range document[team].Objectives {
			b := Burn{Team: team, Objective: o, Minutes: make([]Counts, LongWindow/bucketTime)}
			for _, l := range objectives[key{team, o.Name}] {
				b.add(l)
			}
			r.Burns = append(r.Burns, b)
		}
	}
	slices.SortStableFunc(r.Burns, func(x, y Burn) int { return cmp.Compare(x.Team, y.Team) })
	return r
}

func (b *Burn) add(l ObjectiveCounts) {
	b.Window = b.Window.Add(l.Window)
	b.Since = max(b.Since, l.Since)
	if len(l.Minutes) != len(b.Minutes) {
		return
	}
	short := len(b.Minutes) - int(ShortWindow/bucketTime)
	for i, c := range l.Minutes {
		b.Minutes[i] = b.Minutes[i].Add(c)
		b.Long = b.Long.Add(c)
		if i >= short {
			b.Short = b.Short.Add(c)
		}
	}
}
