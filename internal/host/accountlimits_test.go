package host

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"cicadabarrow.example/cicadabarrow/internal/account"
	"cicadabarrow.example/cicadabarrow/internal/admission"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// A job that never fits under the cap of its account must be refused, unless it was
// accepted before the cap was lowered: then it runs, and a repeat must not be told
// otherwise.
func TestOnlyNewJobsAboveTheCapAreRefused(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, _ *fakeHost) {
		host, queue := w.order[0].host, &manifest.Queue{Name: "full"}
		check := func(cores int64, j workload.Job) error {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			return host.checkCap(ctx, queue, manifest.Client{Account: manifest.Terms{Name: "a", Cap: job.Size{MilliCores: cores}}}, &j)
		}
		known := testJob("00000000000000a1", false)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		if err := host.Submit(ctx, queue, manifest.Client{}, known); err != nil {
			t.Fatal(err)
		}
		if err := check(100, testJob("00000000000000a2", false)); err != nil {
			t.Errorf("a job that fits: %v", err)
		}
		if err := check(99, testJob("00000000000000a2", false)); !fault.Is(err, KindInvalid) {
			t.Errorf("a job that does not fit: %v", err)
		}
		if err := check(99, known); !errors.Is(err, errRepeated) {
			t.Errorf("a repeated job: %v", err)
		}
	})
}

// Only jobs of accounts in excess are refused for the excess, and a repeat of a job that
// runs is not. A host that does not hear from the owner refuses nothing.
func TestJobsOfAccountsInExcessAreRefused(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, owner *fakeHost) {
		other := w.order[0]
		if other == owner {
			other = w.order[1]
		}
		queue := &manifest.Queue{Name: "full", Service: "s"}
		check := func(account string, j workload.Job) error {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			return other.host.checkExcess(ctx, queue, manifest.Client{Account: manifest.Terms{Name: account, Weight: 2}}, &j)
		}
		known := testJob("00000000000000a1", false)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		if err := other.host.Submit(ctx, queue, manifest.Client{}, known); err != nil {
			t.Fatal(err)
		}
		w.setCut(other, true, owner.name)
		time.Sleep(pingTimeout)
		pong := message.OwnerPong{Owning: true, Epoch: w.ownerRow().Epoch}
		pong.Admission = admission.Decision{
			Short: []admission.ServiceShortage{{Service: "s", Wait: 3 * time.Second}}, InExcess: []account.Excess{{Name: "heavy", For: 4 * time.Second}},
		}
		other.host.applyPong(pong)
		err := check("heavy", testJob("00000000000000a2", false))
		var overload *OverloadError
		if !fault.Is(err, KindOverloaded) || !errors.As(err, &overload) || overload.RetryAfter != 4*time.Second || overload.Account != "heavy" {
			t.Errorf("a job in excess is answered %v", err)
		}
		if err := check("heavy", known); !errors.Is(err, errRepeated) {
			t.Errorf("a repeated job is answered %v", err)
		}
		for _, name := range []string{"light", ""} {
			if err := check(name, testJob("00000000000000a3", false)); err != nil {
				t.Errorf("a job of account %q is answered %v", name, err)
			}
		}
		if got := other.host.accountRefusals.list(); len(got) != 1 || got[0] != (message.AccountRefusals{Account: "heavy", Jobs: 1}) {
			t.Errorf("counted as refused: %+v", got)
		}
		time.Sleep(admissionMaxAge)
		if err := check("heavy", testJob("00000000000000a4", false)); err != nil {
			t.Errorf("a host that has not heard from the owner answers %v", err)
		}
	})
}

// The number of accounts whose refused jobs are counted apart is bounded.
func TestCountedAccountsAreBounded(t *testing.T) {
	counts := newAccountRefusals(tally.NoopScope)
	for i := range 10 * maxCountedAccounts {
		counts.add(fmt.Sprint(i))
	}
	counts.add("0")
	peers := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")}
	for _, p := range peers {
		counts.note(p, []message.AccountRefusals{{Account: "0", Jobs: 5}})
	}
	if got := counts.list(); len(got) != maxCountedAccounts+1 {
		t.Errorf("%d accounts are counted apart", len(got))
	}
	if total := counts.total(peers[:1]); total["0"] != 2+5 || total[otherAccounts] != 9*maxCountedAccounts {
		t.Errorf("total %d, others %d", total["0"], total[otherAccounts])
	}
}
