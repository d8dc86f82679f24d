package standin

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"cicadabarrow.example/cicadabarrow/internal/platform/wire"
)

func (s *Server) fault(c echo.Context) error {
	f, err := decode[wire.Fault](c)
	if err != nil {
		return err
	}
	if err := s.deployment.SetFault(f); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, struct{}{})
}

// SetFault sets the fault switches that a call over HTTP names. It sets none and
// returns an error if the target does not have one of them.
func (d *Deployment) SetFault(f wire.Fault) error {
	if err := d.checkFault(f); err != nil {
		return err
	}
	switch f.Target {
	case "Links":
		d.Links.Set(*f.From, *f.To, Loss(*f.Loss))
		return nil
	case "Table":
		return d.Table.apply(f)
	case "Objects":
		return d.Objects.apply(f)
	case "Hosts":
		if lag, _ := wire.ParseOptionalDuration("fault", "Lag", f.Lag); f.Lag != nil {
			d.Hosts.SetLag(lag)
		}
		return d.Hosts.apply(f)
	}
	if w := d.Workers.Get(f.Target); w != nil {
		w.applyWorker(f)
		return w.apply(f)
	}
	u := d.Upstreams.Get(f.Target)
	u.applyUpstream(f)
	return u.apply(f)
}

func (d *Deployment) checkFault(f wire.Fault) error {
	worker, upstream := d.Workers.Get(f.Target) != nil, d.Upstreams.Get(f.Target) != nil
	links, hosts := f.Target == "Links", f.Target == "Hosts"
	if !worker && !upstream && !links && !hosts && f.Target != "Table" && f.Target != "Objects" {
		return invalid("fault",
			"Target is %q, not Table, Objects, Hosts, Links or the name of a worker or an upstream", f.Target)
	}
	switches := []struct {
		name         string
		set, allowed bool
	}{
		{"Down", f.Down != nil, !links},
		{"Refuse", f.Refuse != nil, !links},
		{"Silent", f.Silent != nil, !links},
		{"Slow", f.Slow != nil, !links},
		{"LoseAnswers", f.LoseAnswers != nil, !links},
		{"Lag", f.Lag != nil, hosts},
		{"Leaving", f.Leaving != nil, worker || upstream},
		{"FailStarts", f.FailStarts != nil, worker},
		{"Frozen", f.Frozen != nil, worker},
		{"Restart", f.Restart != nil, worker},
		{"Fail", f.Fail != nil, upstream},
		{"Stalled", f.Stalled != nil, upstream},
		{"Cut", f.Cut != nil, upstream},
		{"From", f.From != nil, links},
		{"To", f.To != nil, links},
		{"Loss", f.Loss != nil, links},
	}
	for _, s := range switches {
		if s.set && !s.allowed {
			return invalid("fault", "%s does not apply to the target %q", s.name, f.Target)
		}
	}
	return checkValues(f, links)
}

func checkValues(f wire.Fault, links bool) error {
	if _, err := wire.ParseOptionalDuration("fault", "Slow", f.Slow); err != nil {
		return err
	}
	if _, err := wire.ParseOptionalDuration("fault", "Lag", f.Lag); err != nil {
		return err
	}
	if f.LoseAnswers != nil && *f.LoseAnswers < 0 {
		return invalid("fault", "LoseAnswers is %d, which is negative", *f.LoseAnswers)
	}
	if f.Cut != nil {
		switch Cut(*f.Cut) {
		case CutNone, CutBefore, CutMidway:
		default:
			return invalid("fault", "Cut is %q, not empty, Before or Midway", *f.Cut)
		}
	}
	if !links {
		return nil
	}
	if f.From == nil || f.To == nil || f.Loss == nil {
		return invalid("fault", "Links need From, To and Loss")
	}
	switch Loss(*f.Loss) {
	case LossNone, LossRequests, LossAnswers:
		return nil
	default:
		return invalid("fault", "Loss is %q, not empty, Requests or Answers", *f.Loss)
	}
}

// apply sets the fault switches that all stand-ins have.
func (f *Faults) apply(set wire.Fault) error {
	if set.Down != nil {
		f.SetDown(*set.Down)
	}
	if set.Refuse != nil {
		f.SetRefuse(*set.Refuse)
	}
	if set.Silent != nil {
		f.SetSilent(*set.Silent)
	}
	if set.LoseAnswers != nil {
		f.LoseAnswers(*set.LoseAnswers)
	}
	if set.Slow == nil {
		return nil
	}
	slow, err := wire.ParseOptionalDuration("fault", "Slow", set.Slow)
	if err == nil {
		f.SetSlow(slow)
	}
	return err
}

func (w *Worker) applyWorker(f wire.Fault) {
	if f.Leaving != nil {
		w.SetLeaving(*f.Leaving)
	}
	if f.FailStarts != nil {
		w.SetFailStarts(*f.FailStarts)
	}
	if f.Restart != nil && *f.Restart {
		w.Restart()
	}
	switch {
	case f.Frozen == nil:
	case *f.Frozen:
		w.Freeze()
	default:
		w.Thaw()
	}
}

func (u *Upstream) applyUpstream(f wire.Fault) {
	if f.Leaving != nil {
		u.SetLeaving(*f.Leaving)
	}
	if f.Fail != nil {
		u.SetFail(*f.Fail)
	}
	if f.Stalled != nil {
		u.SetStalled(*f.Stalled)
	}
	if f.Cut != nil {
		u.SetCut(Cut(*f.Cut))
	}
}
